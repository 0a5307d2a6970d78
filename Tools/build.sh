#!/usr/bin/env bash
# Configures and builds ibisshed. Usage: build.sh [BUILD_DIR] [cmake options]
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
build=${1:-$root/build}
[ $# -gt 0 ] && shift
cmake -S "$root" -B "$build" -G Ninja -DCMAKE_EXPORT_COMPILE_COMMANDS=ON "$@" > /dev/null
cmake --build "$build" -j "${IBIS_JOBS:-$(nproc)}"
