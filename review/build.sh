#!/bin/sh
# Builds the stand-ins of the review's cases. They are in Python (3.8 or newer, no modules beyond the standard library), so
# that this only compiles them. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
test -x ../build/bellstair || { echo "build/bellstair is missing: run the deploy file's build first" >&2; exit 1; }
python3 - <<'PYTHON'
import glob
for path in sorted(glob.glob("common/*.py") + glob.glob("[123]/*.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("compiled", path)
PYTHON
