#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into review/rig-2/bin.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/rig-2/bin
go build -o review/rig-2/bin/rig-2 ./review/rig-2
