#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use the standard library alone, so they are
# only compiled, to show that they can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [0-9]
