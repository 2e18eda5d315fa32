#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 to 10 start, into target/. The entry VMs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig2 ./review/rig2
