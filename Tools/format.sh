#!/usr/bin/env bash
# Formats the sources in place, or with --check fails if any file is not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.h' 'Source/*.cpp' 'platform/*.h' 'platform/*.cpp' | grep -v '/Generated/')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
