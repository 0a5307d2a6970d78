#!/usr/bin/env bash
# Installs the dependencies, builds everything, runs all tests, the formatter check and the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install-deps.sh
Tools/build.sh build
Tools/format.sh --check
Tools/check-words.sh
Tools/lint.sh build
ctest --test-dir build --output-on-failure --no-tests=error -j "${IBIS_JOBS:-4}"
