#!/usr/bin/env bash
# Runs a deployment of the users' platform on loopback, in separate processes: one with
# the simulated services, the trainer and the callers, three entries, a data instance and
# the sidecars of four endpoints. Exits when the clients have finished; the exit code is 0
# if the trainer and the callers got the expected results.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=run/site
rm -rf "$dir"
mkdir -p "$dir"
pids=()

# Kills only the processes that this script started, by PID.
finish() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap finish EXIT

bin/standin site --dir "$dir" "$@" &
site=$!
pids+=("$site")
for _ in $(seq 100); do
  [ -s "$dir/side-3.toml" ] && break
  sleep 0.1
done
for file in "$dir"/*.toml; do
  LAVENDERMUX_NODE_FILE="$file" bin/lavendermux node >"${file%.toml}.log" 2>&1 &
  pids+=($!)
done
code=0
wait "$site" || code=$?
grep -h 'Version named\|Load planned' "$dir"/entry-0.log | tail -n 3 || true
exit "$code"
