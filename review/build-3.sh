#!/bin/sh
# Prepares what the scripts of review/11 to review/15 start beside the daemons: the project's own
# stand-ins and those of review/lib-3. They are Python and need the standard library only.
cd "$(dirname "$0")/.." || exit 2
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || exit 2
exec python3 -m compileall -q standins review/lib-3 review/11 review/12 review/13 review/14 review/15
