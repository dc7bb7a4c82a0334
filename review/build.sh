#!/bin/sh
# Builds the stand-ins of the scripts, into target/. They need nothing but the standard library.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
