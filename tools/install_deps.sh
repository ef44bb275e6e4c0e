#!/usr/bin/env bash
# Installs the libraries and tools that the build, the tests and CI need; does nothing if all are installed.
# deploy/system.toml repeats the libraries for machines that only build and run the system.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl
    libasio-dev libboost1.81-dev libboost-program-options1.81-dev librestinio-dev
    prometheus-cpp-dev libcurl4-openssl-dev doctest-dev
    nlohmann-json3-dev librapidcheck-dev liburcu-dev libssl-dev libfmt-dev
    libhttp-parser-dev libbenchmark-dev)

if dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi

as_root=()
[[ $(id -u) -eq 0 ]] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null
