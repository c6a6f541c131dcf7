#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review-case
if [ ! -x "$program" ] || [ ! -x target/release/apricotfold-proxy ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh" >&2
    exit 2
fi
exec "$program" late-beats review/5
