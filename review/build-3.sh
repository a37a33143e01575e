#!/usr/bin/env bash
# Compiles the stand-ins of the third review; they need the standard library
# only.
set -eu
cd "$(dirname "$0")"
for file in lab3/*.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
