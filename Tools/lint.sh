#!/usr/bin/env bash
# Runs clang-tidy over the sources. Usage: lint.sh [BUILD_DIR] [FILE...]
# Without files it checks all. A file whose contents, includes and configuration are unchanged since it
# last passed is skipped, by a stamp in the build directory.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
[ $# -gt 0 ] && shift
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' | grep -v '/Generated/')
fi
mkdir -p "$build/lint"
headers=$(git ls-files --cached --others --exclude-standard 'Source/*.h' .clang-tidy | xargs cat | sha1sum | cut -c1-40)

check_file() {
  local file=$1 key
  key=$(printf '%s %s' "$headers" "$(sha1sum < "$file")" | sha1sum | cut -c1-40)
  local stamp="$build/lint/${file//\//_}"
  [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$key" ] && return 0
  clang-tidy -quiet -p "$build" "$file" 2> >(grep -v 'warnings generated\|warning generated\|Suppressed\|Use -header-filter' >&2) || return 1
  echo "$key" > "$stamp"
}
export -f check_file
export build headers
printf '%s\0' "${files[@]}" | xargs -0 -P "${IBIS_JOBS:-$(nproc)}" -I{} bash -c 'check_file "$1"' _ {}
echo "lint: ${#files[@]} files clean"
