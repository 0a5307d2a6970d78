#!/usr/bin/env bash
# Plays seeded plans of faults against the daemon of the build folder, one after the other (platform/Soak).
# Usage: soak.sh [--seeds N] [--first SEED] [--seconds S] [--entries N] [--agents M] [--program PATH] [--folder DIR]
# It goes on after a broken rule. Exit codes: 0 all rules held, 1 a rule was broken, 2 a plan could not be played.
set -euo pipefail
cd "$(dirname "$0")/.."
seeds=10
first=1
program=build/Source/Ibisshedd/ibisshedd
folder=
options=()
fail() {
  echo "soak.sh: $*" >&2
  exit 2
}
while [ $# -gt 0 ]; do
  [ $# -gt 1 ] || fail "$1 needs a value"
  case $1 in
    --seeds) seeds=$2 ;;
    --first) first=$2 ;;
    --program) program=$2 ;;
    --folder) folder=$2 ;;
    --seconds | --entries | --agents) options+=("$1" "$2") ;;
    *) fail "usage: soak.sh [--seeds N] [--first SEED] [--seconds S] [--entries N] [--agents M] [--program PATH] [--folder DIR]" ;;
  esac
  shift 2
done
[[ $seeds =~ ^[1-9][0-9]{0,5}$ ]] || fail "--seeds must be a whole number of at least 1, not \"$seeds\""
[[ $first =~ ^(0|[1-9][0-9]{0,9})$ ]] || fail "--first must be a whole number of at least 0, not \"$first\""

child=
stop() {
  [ -z "$child" ] || { kill -TERM "$child" 2> /dev/null; wait "$child" 2> /dev/null; } || true
  exit 2
}
trap stop INT TERM
broken=()
for ((seed = first; seed < first + seeds; seed++)); do
  run=("${options[@]}")
  [ -z "$folder" ] || run+=(--folder "$folder/seed-$seed" --json "$folder/seed-$seed.json")
  [ -z "$folder" ] || mkdir -p "$folder"
  build/platform/Soak/ibissoak --program "$program" --seed "$seed" "${run[@]}" &
  child=$!
  status=0
  wait "$child" || status=$?
  child=
  [ $status -le 1 ] || exit 2
  [ $status -eq 0 ] || broken+=("$seed")
done
echo "soak: $seeds seeds, ${#broken[@]} with a broken rule${broken[*]:+: ${broken[*]}}"
[ ${#broken[@]} -eq 0 ]
