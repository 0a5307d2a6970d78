#!/usr/bin/env bash
# Writes Source/Core/Rpc/Generated from Ibisshed.thrift. Needs the Debian package thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/../Source/Core/Rpc"
rm -rf Generated
mkdir Generated
thrift --gen cpp:no_skeleton,moveable_types -out Generated Ibisshed.thrift
