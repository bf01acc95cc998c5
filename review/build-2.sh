#!/bin/sh
# The stand-ins of the cases 4 to 8 are Python programs that use the standard library alone: nothing has to be
# compiled. Checks that they can be read.
set -e
cd "$(dirname "$0")"
for file in support-2/fleet.py [4-8]/case.py; do
    if [ -f "$file" ]; then
        python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
    fi
done
