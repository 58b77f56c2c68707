#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the program of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin2
