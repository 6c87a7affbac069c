#!/usr/bin/env bash
# Runs a deployment of the users' platform on loopback, by separate processes: one
# process of stand-ins, trainer and callers, three entries, a data instance, and the
# process beside each of four engines. Ends by itself; the exit code says whether
# trainer and callers got what they should.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=run/site
rm -rf "$dir"
mkdir -p "$dir"
pids=()

# Only processes that were started here are ended, by their numbers.
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
