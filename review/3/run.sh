#!/usr/bin/env bash
# Exits with 1 if a request that isn't idempotent ran twice, 0 if none did, and 2 if the case
# couldn't run. TROUBLE=0 plays it without lost answers.
cd "$(dirname "$0")/../.."
exec target/review/rig once-replay review/3/record.txt
