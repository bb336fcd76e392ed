#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. KEEP_LOGS=DIR keeps the processes' logs.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/rig ] || [ ! -x target/siskin-scheduler ]; then
  echo "build first: the command of deploy/system.toml and review/build.sh" >&2
  exit 2
fi
exec review/bin/rig cancel "review/4/record.txt"
