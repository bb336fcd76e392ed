#!/usr/bin/env bash
# A caller of another queue uses the id of a job. TROUBLE=0 leaves the disruption out. Exit code: 1 if
# the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec review/bin-3/rig-3 queues review/14/record.txt
