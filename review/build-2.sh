#!/bin/bash
# Builds the stand-ins of the cases 4 to 8.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/rig-2 ./review/rig-2
