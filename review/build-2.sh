#!/bin/sh
# Prepares the stand-ins of review/4 to review/6: Python files that use the standard library alone. Nothing is
# built; this checks that the interpreter of the deploy file's build can read each of them.
cd "$(dirname "$0")/.." || exit 1
for file in review/[456]/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
