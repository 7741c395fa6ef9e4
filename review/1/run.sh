#!/bin/sh
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$folder/../common" exec timeout -k 2 118 python3 "$folder/case.py"
