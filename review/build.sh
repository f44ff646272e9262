#!/usr/bin/env bash
# Checks that every stand-in and case compiles; they need Python 3.11 and its standard library only.
set -euo pipefail
cd "$(dirname "$0")"
for source in standins/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$source"
done
