#!/bin/sh
# Builds the stand-ins of the cases in review/11 and above into target/.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
