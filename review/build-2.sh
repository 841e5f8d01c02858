#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 and following start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin2 ./review/_standin2
