#!/usr/bin/env bash
# Installs every Debian package that building and testing ibisshed needs.
set -euo pipefail

PACKAGES=(
  g++ cmake ninja-build ccache clang-format clang-tidy git curl
  libtbb-dev
  libthrift-dev libevent-dev
  libcpp-httplib-dev libssl-dev
  libtomlplusplus-dev
  libboost-log-dev
  libexpected-dev
  zlib1g-dev
  librapidcheck-dev catch2
  libopentracing-dev
  nlohmann-json3-dev
  libxxhash-dev
  libpcg-cpp-dev
  libbenchmark-dev
  gnuplot-nox
)

missing=()
for package in "${PACKAGES[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -qq "${missing[@]}" > /dev/null
