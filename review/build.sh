#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python and need no package: this compiles
# them, the project's own included, so that an error shows here and not in a run.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review/lib standins/rawhttp.py standins/store.py
