#!/usr/bin/env bash
# A worker crashes, is back after a second, and is lost five seconds later. TROUBLE=0 leaves the disruption out. Exit code: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin-3/rig-3 crash-twice review/15/record.txt
