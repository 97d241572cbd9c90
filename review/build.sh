#!/bin/sh
# Checks the stand-ins of the cases. They need Python's standard library alone; the
# routers come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path(".").glob("standin/*.py")) + sorted(Path(".").glob("*/case.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
