#!/usr/bin/env bash
# Builds the stand-ins and judges of the cases in review/4 to review/6 into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-cases ./review/rig2
