#!/bin/bash
# Runs the case; TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/apricotfold-proxy target/review-3/storm; do
    [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
target/review-3/storm review/11
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
