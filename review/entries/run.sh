#!/bin/sh
# Exit code: 1 if a holder without the lease gave an order, 0 if not, 2 if the
# script could not run.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/..:$here/../.." PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$here/stale_holder.py"
