#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. Builds needed: that of the deploy
# file and review/build-2.sh. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
standins=review/standins-2/target/release/review-standins-2
[ -x "$standins" ] || { echo "$standins is missing: run review/build-2.sh"; exit 2; }
timeout --kill-after=5 100 "$standins" live-sizes review/7
status=$?
[ "$status" -le 2 ] && exit "$status"
# The stand-ins were stopped before they could end the router.
router=$(sed -n 's/.* the router is process \([0-9]*\)$/\1/p' review/7/record.txt)
[ -n "$router" ] && kill -KILL "$router"
exit 2
