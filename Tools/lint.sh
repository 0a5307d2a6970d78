#!/usr/bin/env bash
# Runs clang-tidy over the sources. Usage: lint.sh [BUILD_DIR] [FILE...]
# Without files it checks all. A file is skipped if it, the project headers that it includes and .clang-tidy are
# unchanged since it last passed; the build must be up to date, because the includes are read from it.
set -euo pipefail
cd "$(dirname "$0")/.."
root=$PWD
build=${1:-build}
[ $# -gt 0 ] && shift
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'Source/*.cpp' 'platform/*.cpp' | grep -v '/Generated/')
fi
mkdir -p "$build/lint"

# One line for each source: the source and the project files that it includes.
ninja -C "$build" -t deps | awk -v root="$root/Source/" -v platform="$root/platform/" '
  /^[^ ]/ { if (line != "") print line; line = ""; next }
  /^    / { path = $1; if (index(path, root) == 1 || index(path, platform) == 1) line = (line == "" ? path : line " " path) }
  END { if (line != "") print line }' > "$build/lint/includes"

check_file() {
  local file=$1 key
  local inputs
  inputs=$(grep -m1 -F "$root/$file " "$build/lint/includes" || echo "$root/$file")
  # shellcheck disable=SC2086
  key=$(cat .clang-tidy $inputs | sha1sum | cut -c1-40)
  local stamp="$build/lint/${file//\//_}"
  [ -f "$stamp" ] && [ "$(cat "$stamp")" = "$key" ] && return 0
  clang-tidy -quiet -p "$build" "$file" 2> >(grep -v 'warnings generated\|warning generated\|Suppressed\|Use -header-filter' >&2) || return 1
  echo "$key" > "$stamp"
}
export -f check_file
export build root
printf '%s\0' "${files[@]}" | xargs -0 -P "${IBIS_JOBS:-$(nproc)}" -I{} bash -c 'check_file "$1"' _ {}
echo "lint: ${#files[@]} files clean"
