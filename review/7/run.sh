#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. TROUBLE=0 leaves the disruption out. Needs the build of the deploy file
# and review/build-2.sh.
cd "$(dirname "$0")" || exit 2
here=$PWD
cd ../.. || exit 2
for program in target/cyclamentray-batchd target/review-standin-2; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-standin-2 --case twice-drain-cut --trouble=$trouble --record "$here/record.txt"
