#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
GOWORK=off GOFLAGS= GOPROXY=off go build -o ../../target/review-2/drive .
