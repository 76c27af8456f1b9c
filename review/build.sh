#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs without packages, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
