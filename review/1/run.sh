#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")" || exit 2
program="../standins/target/release/fleet_release"
[ -x "$program" ] || { echo "run review/build.sh first"; exit 2; }
[ -x ../../target/release/milletpath ] || { echo "run the build of the deploy file first"; exit 2; }
ROOT="$(cd ../.. && pwd)" exec "$program" .
