#!/usr/bin/env bash
# Exits with 1 if a step ran out of time with items that no worker had, 0 if none did, and 2 if
# the case couldn't run. TROUBLE=0 plays it without the new version.
cd "$(dirname "$0")/../.."
exec target/review/rig single-version review/1/record.txt
