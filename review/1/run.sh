#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/graniteknot ] && [ -x target/review/1 ] || { echo "build first: fleetbench build, review/build.sh" >&2; exit 2; }
exec target/review/1
