#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides
# target/cherviltray-relay. The stand-ins (rig_2.py) are Python programs that
# need no build: this checks that they can be run.
set -eu
cd "$(dirname "$0")"
shopt -s nullglob
python3 -B - rig_2.py [6-9]/case.py 10/case.py <<'PY'
import os, sys
if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in filter(os.path.exists, sys.argv[1:]):
    with open(path) as f:
        compile(f.read(), path, "exec")
PY
