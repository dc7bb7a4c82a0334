#!/bin/sh
# Builds the stand-ins of the script cases 6 to 10. The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2/standin-2 ./review/standin-2
