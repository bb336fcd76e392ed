#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin-3/rig-3 ./review/rig-3
