#!/usr/bin/env bash
# Plays the cases of review/ on a copy of the committed tree and says which hold. Started by hand.
# Usage: bench/review.sh [RUNS], the number of runs of each script, 1 by default.
# BENCH=PROGRAM SITE=FILE play the cases that are days as well, on the seeds of SEEDS; what the
# program notes in journal/ is copied back. Exit code: 0 if all hold, 1 if one is broken, 2 if one
# could not run.
set -uo pipefail
top=$(cd "$(dirname "$0")/.." && pwd)
runs=${1:-1}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git clone -q "$top" "$dir/tree" && cd "$dir/tree" || exit 2
sh -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" && review/build.sh && review/build-2.sh && review/build-3.sh || exit 2

worst=0
# report NAME CODE prints the outcome of a case, with the exit codes of the review's scripts.
report() {
  local outcome=("held" "broken" "could not run")
  printf '%-24s %s\n' "$1" "${outcome[$2]:-could not run}"
  [ "$2" -le "$worst" ] || worst=$2
}

for script in review/*/run.sh; do
  for run in $(seq "$runs"); do
    "$script" >"$dir/out" 2>&1
    code=$?
    report "$(dirname "$script"), run $run" "$code"
  done
done
for run in $(seq "$runs"); do
  review/bin/rig upkeep "$dir/record" >"$dir/out" 2>&1
  code=$?
  report "rig upkeep, run $run" "$code"
done
if [ -n "${BENCH:-}" ] && [ -n "${SITE:-}" ]; then
  for day in review/*/day.toml; do
    for seed in ${SEEDS:-1 2 3}; do
      "$BENCH" run "$SITE" "$day" --seed "$seed" --report "$dir/report" --why "review, $day" >"$dir/out" 2>&1
      code=2
      if [ -s "$dir/report" ]; then
        code=1
        grep -q '"breaks": *{}' "$dir/report" && grep -q '"fault": *null' "$dir/report" && code=0
      fi
      rm -f "$dir/report"
      report "$(dirname "$day"), seed $seed" "$code"
    done
  done
  git add -A journal
  git diff --cached --name-only --diff-filter=A -- journal | while read -r entry; do
    mkdir -p "$top/$(dirname "$entry")" && cp "$entry" "$top/$entry"
  done
fi
exit "$worst"
