#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. It needs the modules of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2/harness2 ./review/harness2
