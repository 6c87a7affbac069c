#!/usr/bin/env bash
# Runs one deployment of examples/ on loopback, in separate processes: the simulated
# platform services, three entries, the sidecars of 13 endpoints, two trainers and two
# callers. Exits when the clients have finished and prints their results.
#
#   scripts/demo.sh perdana|koolitund
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?which deployment: perdana or koolitund}
dir=examples/$name
[ -d "$dir" ] || { echo "no deployment $dir" >&2; exit 2; }
run=run/$name
mkdir -p "$run"
pids=()

# Kills only the processes that this script started, by PID.
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

# value FILE FIELD prints a string field of a settings file.
value() { sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1" | head -n 1; }
address() { value "$1" "$2" | sed 's|^http://||'; }

entry1=$dir/entries/entry-1.json
start kv bin/standin kv --listen "$(address "$entry1" keyValue)"
start instances bin/standin instances --listen "$(address "$entry1" instanceList)" --lag 1s
start weights bin/standin weights --listen "$(address "$entry1" weightStore)"
start scorer bin/standin scorer --listen "$(address "$dir/resources/10-pool.json" scorer)"

models=()
for model in $(sed -n '/"models"/,/]/p' "$dir/resources/10-pool.json" | grep -o '"[a-z]*"' | tr -d '"' | grep -v models); do
  models+=(--model "$model=1")
done

seed=0
for file in "$dir"/sides/*.json; do
  base=$(basename "$file" .json)
  seed=$((seed + 1))
  if [ -n "$(value "$file" engine)" ]; then
    flags=()
    [ "$(value "$file" fencing)" = checked ] || flags+=(--ignore-fence)
    start "engine-$base" bin/standin engine --listen "$(address "$file" engine)" --seed "$seed" \
      "${models[@]}" --total-rate 3000 --stream-rate 150 --weights "$(value "$entry1" weightStore)" "${flags[@]}"
  else
    start "service-$base" bin/standin service --listen "$(address "$file" plainService)"
  fi
done

bin/standin register --list "$(value "$entry1" instanceList)" "$dir"/entries/*.json "$dir"/sides/*.json
entries=""
for file in "$dir"/entries/*.json; do
  folder=$(value "$file" dataFolder)
  if [ -n "$folder" ]; then
    rm -rf "$folder"
    mkdir -p "$folder"
  fi
  start "$(basename "$file" .json)" bin/lavendermux entry --settings "$file"
  entries=${entries:+$entries,}http://$(value "$file" listen)
done

for file in "$dir"/sides/*.json; do
  start "side-$(basename "$file" .json)" bin/lavendermux side --settings "$file"
done
bin/standin await --entry "$entries" --within 30s
for file in "$dir"/resources/*.json; do
  bin/lavendermux apply --entry "${entries%%,*}" --file "$file"
done
model=$(value "$(ls "$dir"/resources/3*.json | head -n 1)" model)
subscriptions=""
for file in "$dir"/resources/3*.json; do
  subscriptions=${subscriptions:+$subscriptions,}$(value "$file" name)
done
bin/standin await --entry "$entries" --within 60s --model "$model" --subscription "$subscriptions" \
  --service "$(value "$dir/resources/20-service.json" name)"

echo "== trainers and callers are running; their logs are in $run"
clients=()
pool=$(value "$dir/resources/10-pool.json" name)
service=$(value "$dir/resources/20-service.json" name)
for file in "$dir"/resources/3*.json; do
  sub=$(value "$file" name)
  bin/standin trainer --entry "$entries" --subscription "$sub" --model "$(value "$file" model)" \
    --bound "$(sed -n 's/.*"stalenessBound": *\([0-9]*\).*/\1/p' "$file")" \
    --store "$(value "$entry1" weightStore)" --steps 4 --groups 16 --size 8 --first-version 2 \
    --seed 7 >"$run/trainer-$sub.json" 2>"$run/trainer-$sub.log" &
  clients+=($!)
done
bin/standin caller --entry "$entries" --caller live --model "$model" --duration 20s --concurrency 8 --rate 10 \
  --timeout 15s --attempts 3 --seed 11 >"$run/caller-live.json" 2>"$run/caller-live.log" &
clients+=($!)
bin/standin caller --entry "$entries" --caller booking --service "$service" --duration 20s --concurrency 4 --rate 20 \
  --attempts 3 --seed 13 >"$run/caller-booking.json" 2>"$run/caller-booking.log" &
clients+=($!)

code=0
for pid in "${clients[@]}"; do wait "$pid" || code=1; done
for file in "$run"/trainer-*.json "$run"/caller-*.json; do
  echo "== $(basename "$file" .json)"
  cat "$file"
done
[ $code -eq 0 ] && echo "demo of $name ($pool, $service): every check passed" || echo "demo of $name: a check failed" >&2
exit $code
