#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for n in 1; do
	if [ -f "review/$n/main.go" ]; then
		go build -tags review -o "target/review/$n" "./review/$n"
	fi
done
