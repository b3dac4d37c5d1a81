#!/bin/sh
# Runs the case; exit code 1: the rule was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/deps ] || { echo "build first" >&2; exit 2; }
exec python3 review/5/case.py
