#!/usr/bin/env bash
# Installs every package that the build, the checks and the demo need, by name.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache make git python3
    libboost-dev libboost-fiber-dev libboost-context-dev libboost-serialization-dev libboost-filesystem-dev
    libcli11-dev liblog4cplus-dev catch2 nlohmann-json3-dev libtomlplusplus-dev
    prometheus-cpp-dev libxxhash-dev libssl-dev
    clang-format clang-tidy
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
"${as_root[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -q -y --no-install-recommends "${missing[@]}"
