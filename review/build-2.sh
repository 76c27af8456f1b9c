#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. They are Python 3.11 programs of the standard library alone, so there
# is nothing to compile; this checks that they read. The program under test is built by `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
for file in common-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
