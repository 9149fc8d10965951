#!/bin/sh
# Builds the stand-ins of the scripts. They are Python and need only the standard library, so this
# checks that they compile.
set -e
cd "$(dirname "$0")"
for file in lib/rig.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
