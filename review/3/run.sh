#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
command -v python3 > /dev/null || exit 2
exec timeout --preserve-status -k 5 110 python3 -B case.py
