#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. All of them are Python scripts of review/common-2, which use the
# standard library alone; so this only checks that they compile. The broker itself is built by `build` of the deploy file.
cd "$(dirname "$0")" && exec python3 -B -c '
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
' common-2/rig.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py
