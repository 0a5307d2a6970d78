#!/usr/bin/env bash
# Installs the dependencies, builds everything, runs all tests, the formatter check and the linter.
set -euo pipefail
cd "$(dirname "$0")/.."
Tools/install-deps.sh
Tools/build.sh build
Tools/format.sh --check
Tools/check-words.sh
Tools/lint.sh build
# The users' platform builds with the line of its own deploy file.
bash -euc "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)" > /dev/null
red=$(grep -c '^- Test: ".*" (Source/UnitTests/' KNOWN-RED.txt || true)
echo "known red unit tests, passed over: $red"
grep -A 3 '^- Test: ".*" (Source/UnitTests/' KNOWN-RED.txt || true
ctest --test-dir build --output-on-failure --no-tests=error -j "${IBIS_JOBS:-4}"
