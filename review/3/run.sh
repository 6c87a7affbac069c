#!/usr/bin/env bash
# Exits with 1 if a stream was lost around a SIGTERM, 0 if none was, and 2 if the case couldn't
# run. TROUBLE=0 plays it without the SIGTERM.
cd "$(dirname "$0")/../.."
exec target/review/rig drain-cut review/3/record.txt
