#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start, beside the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review3 ./review/rig3
