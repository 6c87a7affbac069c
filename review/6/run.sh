#!/usr/bin/env bash
# Plays the case and writes record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case couldn't run; TROUBLE=0 leaves the disruption out. Needs the build of
# deploy/system.toml and that of review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
for program in target/lavendermux target/review-cases; do
  [ -x "$program" ] || { echo "$program is missing" >&2; exit 2; }
done
exec target/review-cases endless review/6/record.txt
