#!/usr/bin/env bash
# Runs the script of a case five times, and once without its disruption, and prints the exit codes.
set -u
cd "$(dirname "$0")/../.."
for n in 1 2 3 4 5; do
  "review/$1/run.sh" >/dev/null
  echo "run $n: $?"
done
TROUBLE=0 "review/$1/run.sh" >/dev/null
echo "without the disruption: $?"
