#!/usr/bin/env bash
# Builds the stand-ins and the player of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -Wall -Wextra -pthread standin/*.cpp -o bin/harness
