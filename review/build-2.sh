#!/bin/sh
# Builds what the scripts of the second review start: the project's stand-ins, which
# need only what the build of the deploy file has put under target/deps.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
PYTHONPATH="target/deps:." python3 -m compileall -q berylshift review/common2
PYTHONPATH="target/deps:." python3 -m berylshift.stand_ins list >/dev/null
