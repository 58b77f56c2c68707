#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs no network: they use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
