#!/bin/sh
# Checks what the scripts of review/11 to 15 start, after the build of the
# deploy file. The stand-ins are Python programs without further dependencies.
cd "$(dirname "$0")/.." || exit 2
test -x target/cherviltray-relay || { echo "build the deploy file first" >&2; exit 2; }
for f in review/rig_3.py review/1[1-5]/*.py; do
	[ -f "$f" ] || continue
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$f" || exit 1
done
