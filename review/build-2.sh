#!/bin/sh
# Builds what the scripts of review/6 and up start beside the deploy file's programs: `shalereeld` and the project's
# stand-in of the registry (cases 7 and 8). The other stand-ins are Python programs of review/standins-2, which need no
# build and use nothing but Python's library; this checks that they can be read.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
python3 - review/standins-2/*.py review/[0-9]*/scenario.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON
