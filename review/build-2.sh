#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. The deploy build has to be there before.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
cmake --build target/review-2 --target review2
