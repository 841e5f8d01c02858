#!/bin/sh
# Builds the stand-ins that the scripts start. Run it after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/review-standin ./review/_standin
