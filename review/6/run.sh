#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/sycamorehub-entry ] && [ -x target/review-standin2 ] || { echo "build the deploy file and review/build-2.sh first"; exit 2; }
timeout -k 2 117 target/review-standin2 back review/6/record.txt
status=$?
[ $status -le 2 ] || status=2
exit $status
