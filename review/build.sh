#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. It needs only Go's standard library.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target
GOWORK=off go build -o ../../target/review-harness .
