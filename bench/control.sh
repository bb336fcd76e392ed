#!/usr/bin/env bash
# Measures the cost of the control path for placers with increasing numbers of workers:
# HOSTS placers share the workers, and each worker runs services. The byte counts cover
# connections only, because the kernel's counters leave out datagrams.
# Usage: bench/control.sh HOSTS WORKERS...
set -euo pipefail
cd "$(dirname "$0")/.."
hosts=$1
shift
bin=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$bin"
}
trap finish EXIT
go build -o "$bin" ./cmd/...

measure() {
  local workers=$1 dir="$bin/$1" services=$((workers * 6))
  mkdir "$dir"
  "$bin/siskin-dev" --platform-only --hosts "$hosts" --workers "$workers" --slots 8 \
    --control-port 0 --entry-port 0 --settings-dir "$dir" >/dev/null &
  local group=($!)
  pids+=($!)
  while [ ! -s "$dir/entry-$((hosts - 1)).json" ]; do sleep 0.1; done
  for ((i = 0; i < hosts; i++)); do
    "$bin/siskin-placer" --settings "$dir/entry-$i.json" 2>/dev/null &
    group+=($!)
    pids+=($!)
  done
  cat >"$dir/declarations.json" <<JSON
{"format": 1,
 "classes": [{"name": "tap", "target": {"promptness": {"percentile": 99, "bound_ms": 150}}}],
 "teams": [{"name": "diary", "quota": {"processors": 100000, "memory_mb": 900000000}}],
 "services": [{"name": "diary", "team": "diary", "class": "tap", "replicas": $services,
   "size": {"processors": 1, "memory_mb": 1000}}]}
JSON
  local control
  control=$(sed -n 's/.*"control": "\(.*\)".*/\1/p' "$dir/entry-0.json")
  until "$bin/siskinctl" --control "$control" publish "$dir/declarations.json" >/dev/null 2>&1; do sleep 0.5; done
  for _ in $(seq 60); do
    running=$("$bin/siskinctl" --control "$control" status 2>/dev/null | grep -c ' running ' || true)
    [ "$running" -ge "$services" ] && break
    sleep 1
  done
  sleep 5
  echo "$hosts hosts, $workers workers, $running tasks:"
  local meters=()
  for ((i = 0; i < hosts; i++)); do
    "$bin/siskin-bench" process --pid "${group[$((i + 1))]}" --for 20s --label "  entry-$i" &
    meters+=($!)
  done
  wait "${meters[@]}"
  for pid in "${group[@]}"; do kill "$pid"; done
  sleep 1
}

for workers in "$@"; do measure "$workers"; done
