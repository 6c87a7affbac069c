#!/usr/bin/env bash
# Builds the program that plays the scripts, with the stand-ins in it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/rig
