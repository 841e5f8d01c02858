#!/usr/bin/env bash
# Builds the stand-in that the scripts of the third review start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review3/standin3 ./review/_standin3
