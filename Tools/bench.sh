#!/usr/bin/env bash
# Builds, runs the benchmarks in virtual time and then those over processes, and prints one table.
# Usage: bench.sh [--check] [--quick] [--json FILE]
# With --check it exits with 1 if a measure is beyond its bound; --quick skips the longest parts.
set -euo pipefail
cd "$(dirname "$0")/.."
options=()
json=
while [ $# -gt 0 ]; do
  case $1 in
    --check | --quick) options+=("$1") ;;
    --json)
      [ $# -gt 1 ] || { echo "bench.sh: --json needs a file" >&2; exit 2; }
      json=$2
      shift
      ;;
    *)
      echo "usage: bench.sh [--check] [--quick] [--json FILE]" >&2
      exit 2
      ;;
  esac
  shift
done
Tools/install-deps.sh
Tools/build.sh build > /dev/null
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
# The second program runs even if a measure of the first is red, so that the table is whole.
status=0
build/Source/Bench/ibisbench "${options[@]}" --json "$dir/virtual" || status=$?
[ $status -le 1 ] || exit $status
second=0
build/Source/ProcessBench/ibisprocbench "${options[@]}" --json "$dir/process" > "$dir/table" || second=$?
# One header line stands above both parts.
tail -n +2 "$dir/table"
[ $second -le 1 ] || exit $second
if [ -n "$json" ]; then
  # Each file is one array with its brackets on lines of their own.
  { sed '$d' "$dir/virtual" | sed '$s/$/,/'; tail -n +2 "$dir/process"; } > "$json"
fi
[ $status -eq 0 ] && [ $second -eq 0 ]
