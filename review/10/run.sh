#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=$PWD/target/Source/Ibisshedd/ibisshedd
runner=$PWD/target/review-2/review2
[ -x "$program" ] && [ -x "$runner" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$runner" foreign "$program" "$folder" review/10/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
