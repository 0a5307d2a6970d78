#!/usr/bin/env bash
# Builds with sanitizers and runs all tests. Usage: sanitize.sh [address,undefined | thread]
# The libraries from Debian are not instrumented, so the thread sanitizer may report their internals.
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizers=${1:-address,undefined}
build=build-${sanitizers//,/-}
Tools/install-deps.sh
Tools/build.sh "$build" "-DIBIS_SANITIZE=$sanitizers"
ctest --test-dir "$build" --output-on-failure --no-tests=error -j "${IBIS_JOBS:-4}"
