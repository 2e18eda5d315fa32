#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into review/bin. The entry VMs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
