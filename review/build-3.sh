#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases from 11 on start, with the standard library alone.
set -eu
cd "$(dirname "$0")/standins-3"
GOWORK=off GOFLAGS=-mod=mod go build -o target/rig .
