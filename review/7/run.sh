#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same
# without the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
harness=target/review-2/release/review-harness-2
[ -x "$harness" ] || { echo "run review/build-2.sh first"; exit 2; }
"$harness" throttled review/7/record.txt
