#!/bin/sh
# The stand-ins of the review's scripts are Python files without dependencies: nothing is compiled.
# This checks that they, and the project's own stand-ins that they use, can be imported.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 -c "
import sys
sys.path[:0] = ['.', 'review/lib-2']
import fleet
"
