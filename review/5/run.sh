#!/bin/sh
# Plays the case clock-step. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Run review/build.sh and the build of the deploy file before.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-standin ] && [ -x target/cowsliprun-sidecar ] || exit 2
exec target/review-standin clock-step review/5/record.txt
