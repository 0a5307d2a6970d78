#!/usr/bin/env bash
# Writes the Generated folders of Source/Core/Rpc and Source/Core/Wire. Needs the Debian package thrift-compiler.
set -euo pipefail
cd "$(dirname "$0")/../Source/Core/Rpc"
rm -rf Generated
mkdir Generated
thrift --gen cpp:no_skeleton,moveable_types -out Generated Ibisshed.thrift
cd ../Wire
rm -rf Generated
mkdir Generated
thrift --gen cpp:no_skeleton,moveable_types -out Generated Node.thrift
