#!/usr/bin/env bash
# Builds what the scripts start beside the programs of the deploy file. The
# stand-ins are Python programs without dependencies; they are only checked.
set -eu
cd "$(dirname "$0")"
for file in rig.py */case.py; do
	python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
