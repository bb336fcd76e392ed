#!/bin/sh
# Plays the case: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/siskin-scheduler ] && [ -x review/rig-2/bin/rig-2 ] || exit 2
exec review/rig-2/bin/rig-2 cancel review/10
