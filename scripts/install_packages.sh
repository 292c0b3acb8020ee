#!/usr/bin/env bash
# Installs every package that the build, the tests and the model checker need.
set -euo pipefail
packages=(libpoco-dev libnng-dev libboost-dev libcxxopts-dev libgoogle-glog-dev catch2
  libtrompeloeil-cpp-dev nlohmann-json3-dev libmsgpack-cxx-dev libxxhash-dev libssl-dev spin
  g++ cmake ninja-build ccache clang-format clang-tidy curl libclang-rt-14-dev clang)
missing=()
for name in "${packages[@]}"; do
  status=$(dpkg-query -W -f='${Status}' "$name" 2>/dev/null || true)
  [ "$status" = "install ok installed" ] || missing+=("$name")
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends "${missing[@]}"
