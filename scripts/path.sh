#!/usr/bin/env bash
# Measures the latency overhead of the request path on loopback: one entry, one
# generating endpoint and one plain service, each with its sidecar. Prints the tables of
# docs/MEASURED.md. With "making" as the first argument it measures a trainer's steps
# instead, on an endpoint with many slots that generates 100 tokens per second in each.
#
#   scripts/path.sh [flags of "measure path"]
#   MIN_LENGTH=40 scripts/path.sh making [flags of "measure making"]
set -euo pipefail
what=path
slots=64
speed="--stream-rate 5000 --total-rate 500000 --prefill-rate 10000000 --tick 2ms"
if [ "${1:-}" = making ]; then
  what=making
  shift
  slots=1024
  speed="--stream-rate 100 --total-rate 1000000 --prefill-rate 10000000 --tick 100ms --min-length ${MIN_LENGTH:-40}"
fi
cd "$(dirname "$0")/.."
go build -o bin/ ./cmd/...
run=run/path
mkdir -p "$run"
pids=()
finish() {
  [ ${#pids[@]} -eq 0 ] || kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
}
trap finish EXIT
start() {
  local log=$1
  shift
  "$@" >"$run/$log.log" 2>&1 &
  pids+=($!)
}
platform='"keyValue":"http://127.0.0.1:7701","instanceList":"http://127.0.0.1:7702"'
place='"dataCentre":"tln-a","region":"ee-north"'
echo "{\"instance\":\"entry-1\",$place,\"listen\":\"127.0.0.1:7711\",\"peerListen\":\"127.0.0.1:7712\",$platform,\"weightStore\":\"http://127.0.0.1:7703\",\"readyGrace\":\"0s\"}" >"$run/entry.json"
echo "{\"instance\":\"tutor-lm-1\",\"service\":\"tutor-lm\",$place,\"listen\":\"127.0.0.1:7721\",\"engine\":\"http://127.0.0.1:7731\",\"slots\":$slots,$platform}" >"$run/door.json"
echo "{\"instance\":\"booking-api-1\",\"service\":\"booking-api\",$place,\"listen\":\"127.0.0.1:7722\",\"plainService\":\"http://127.0.0.1:7732\",$platform}" >"$run/desk.json"
echo '{"apiVersion":"lavendermux/v1","kind":"pool","name":"tutor-lm","spec":{"service":"tutor-lm","models":["reply"],"liveReserve":0.2}}' >"$run/pool.json"
echo '{"apiVersion":"lavendermux/v1","kind":"service","name":"booking-api","spec":{"service":"booking-api","slotsPerEndpoint":256}}' >"$run/service.json"
echo '{"apiVersion":"lavendermux/v1","kind":"subscription","name":"replies","spec":{"pool":"tutor-lm","model":"reply","cursor":true}}' >"$run/subscription.json"
start kv bin/standin kv --listen 127.0.0.1:7701
start instances bin/standin instances --listen 127.0.0.1:7702 --lag 0s
start engine bin/standin engine --listen 127.0.0.1:7731 --model reply=1 --slots $slots --queue 4096 $speed --weights http://127.0.0.1:7703
start weights bin/standin weights --listen 127.0.0.1:7703
start service bin/standin service --listen 127.0.0.1:7732 --delay 0s
bin/standin register --list http://127.0.0.1:7702 "$run/entry.json" "$run/door.json" "$run/desk.json"
start entry bin/lavendermux entry --settings "$run/entry.json"
entry=$!
start door bin/lavendermux side --settings "$run/door.json"
door=$!
start desk bin/lavendermux side --settings "$run/desk.json"
desk=$!
bin/standin await --entry http://127.0.0.1:7711 --within 30s
bin/lavendermux apply --entry http://127.0.0.1:7711 --file "$run/pool.json" >/dev/null
bin/lavendermux apply --entry http://127.0.0.1:7711 --file "$run/service.json" >/dev/null
bin/lavendermux apply --entry http://127.0.0.1:7711 --file "$run/subscription.json" >/dev/null
bin/standin await --entry http://127.0.0.1:7711 --within 30s --model reply --subscription replies
if [ "$what" = making ]; then
  bin/measure making --entry http://127.0.0.1:7711 --store http://127.0.0.1:7703 --pid "entry=$entry;door=$door" "$@"
  exit
fi
bin/measure path --entry http://127.0.0.1:7711 --engine http://127.0.0.1:7731 --desk http://127.0.0.1:7732 \
  --pid "entry=$entry;door=$door;desk=$desk" "$@"
