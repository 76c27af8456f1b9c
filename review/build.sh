#!/bin/sh
# Builds the stand-ins that the cases start. They are Python programs without packages, so this only compiles them.
set -e
cd "$(dirname "$0")"
python3 -m py_compile common/*.py */case.py
