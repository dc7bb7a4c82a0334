#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out
# the disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/review-2/standin-2 ] && [ -x target/cowsliprun-sidecar ] || { echo "build first"; exit 2; }
exec target/review-2/standin-2 status503 "$here/record.txt"
