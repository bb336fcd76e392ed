#!/usr/bin/env bash
# Runs the whole system as separate processes under random faults and checks its
# guarantees. KEEP_LOGS=DIR copies the processes' logs to DIR at the end.
# Usage: bench/combined.sh [HOSTS WORKERS] [-- flags of siskin-bench combined]
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=3
workers=6
if [ "${1:-}" ] && [ "$1" != -- ]; then
  hosts=$1
  workers=$2
  shift 2
fi
[ "${1:-}" = -- ] && shift
dir=$(mktemp -d)
bin=$dir/bin
mkdir "$dir/hosts" "$dir/hosts/pids"
keepers=()
finish() {
  touch "$dir/stop"
  for f in "$dir"/hosts/pids/*; do
    [ -s "$f" ] || continue
    kill -CONT "$(cat "$f")" 2>/dev/null || true
    kill "$(cat "$f")" 2>/dev/null || true
  done
  kill "$platform" 2>/dev/null || true
  wait 2>/dev/null || true
  if [ -n "${KEEP_LOGS:-}" ]; then cp "$dir"/*.log "$KEEP_LOGS"; fi
  rm -rf "$dir"
}
trap finish EXIT
go build -o "$bin/" ./cmd/...

"$bin/siskin-dev" --platform-only --hosts "$hosts" --workers "$workers" --slots 8 \
  --control-port 0 --entry-port 0 --settings-dir "$dir/hosts" >/dev/null 2>"$dir/platform.log" &
platform=$!
while [ ! -s "$dir/hosts/entry-$((hosts - 1)).json" ]; do sleep 0.1; done

# keep runs a program of a host in a loop: it restarts the program 1 s after its end,
# until the run stops.
keep() {
  local name=$1-$2
  while [ ! -e "$dir/stop" ]; do
    "$bin/$1" --settings "$dir/hosts/$2.json" 2>>"$dir/$name.log" &
    echo $! >"$dir/hosts/pids/$name"
    wait $! 2>/dev/null || true
    sleep 1
  done
}
for ((i = 0; i < hosts; i++)); do
  keep siskin-placer "entry-$i" &
  keepers+=($!)
  keep siskin-entry "entry-$i" &
  keepers+=($!)
done
control=$(sed -n 's/.*"control": "\(.*\)".*/\1/p' "$dir/hosts/entry-0.json")
until "$bin/siskinctl" --control "$control" publish bench/combined.json >/dev/null 2>&1; do sleep 0.5; done
"$bin/siskin-bench" combined --dir "$dir/hosts" "$@"
