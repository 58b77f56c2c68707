#!/usr/bin/env bash
# Runs every test with fixed seeds. The tests named in KNOWN-RED.txt are run last
# and printed; only their failures are ignored.
set -euo pipefail
cd "$(dirname "$0")"

red=$(grep -oE '^test: *[A-Za-z0-9_]+' KNOWN-RED.txt 2>/dev/null | sed -E 's/^test: *//' | paste -sd'|' - || true)
skip=()
if [ -n "$red" ]; then
  skip=(-skip "^(${red})\$")
fi
go test -count=1 -timeout 20m "${skip[@]}" ./...
if [ -n "$red" ]; then
  echo "Known red tests (KNOWN-RED.txt), not counted:"
  grep -E '^test:' KNOWN-RED.txt
  go test -count=1 -timeout 10m -run "^(${red})\$" ./... || true
fi
