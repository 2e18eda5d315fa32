#!/usr/bin/env bash
# Plays the case of claim.txt against real processes. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review-rig2 lost-after-restart review/10/record.txt
