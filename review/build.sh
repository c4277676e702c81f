#!/bin/sh
# Builds the stand-ins that the scripts start. It needs the Go standard library alone.
set -e
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../bin/review-standins .
