#!/bin/sh
# Build what the scripts of cases 11 to 15 start.  The stand-ins are Python, so
# that they are only compiled; a network is not needed.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q standins review/common-3 review/11 review/12
