#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review3/standin3 ] && [ -x target/sycamorehub-entry ] || exit 2
exec target/review3/standin3 lapse review/11 "$PWD/target/sycamorehub-entry"
