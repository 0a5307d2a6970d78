#!/usr/bin/env bash
# Builds the stand-in of the cases of REPORT-3.md into target-review-3/. To be run after the build line of
# deploy/system.toml, whose libraries for HTTP it uses.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target-review-3
objects=()
compilers=()
for source in review/standin-3/*.cpp; do
  object=target-review-3/$(basename "$source" .cpp).o
  g++ -std=c++20 -O2 -Wall -Wextra -DBOOST_ASIO_NO_DEPRECATED -DBOOST_ERROR_CODE_HEADER_ONLY -ISource/Core \
    -Ireview/standin-3 -c "$source" -o "$object" &
  compilers+=($!)
  objects+=("$object")
done
for compiler in "${compilers[@]}"; do
  wait "$compiler"
done
g++ -o target-review-3/standin-3 "${objects[@]}" target/Source/Core/Net/libNet.a target/Source/Core/Common/libCommon.a \
  -lz -lxxhash -lpthread
