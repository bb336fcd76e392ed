#!/usr/bin/env bash
# A queue's advice takes over five seconds for thirty workers. TROUBLE=0 leaves the disruption out. Exit code: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin-3/rig-3 advice review/14/record.txt
