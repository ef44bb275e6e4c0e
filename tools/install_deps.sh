#!/usr/bin/env bash
# Installs the libraries the build needs; returns at once when that is done.
# Two header-only packages conflict with Boost 1.81 in the package manager, so
# their contents are unpacked into .deps/ instead of being installed.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl
    libasio-dev libboost1.81-dev libboost-program-options1.81-dev
    prometheus-cpp-dev libcurl4-openssl-dev libgoogle-glog-dev doctest-dev
    nlohmann-json3-dev librapidcheck-dev liburcu-dev libssl-dev libfmt-dev
    libhttp-parser-dev libbenchmark-dev)
readonly unpacked=(librestinio-dev libmsgpack-cxx-dev)
readonly stamp=.deps/stamp-1

if [[ -f "$stamp" ]] && dpkg -s "${packages[@]}" >/dev/null 2>&1; then
    exit 0
fi

as_root=()
[[ $(id -u) -eq 0 ]] || as_root=(sudo)
export DEBIAN_FRONTEND=noninteractive
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${packages[@]}" >/dev/null

mkdir -p .deps/archives
(cd .deps/archives && apt-get download -qq "${unpacked[@]}")
for archive in .deps/archives/*.deb; do
    dpkg -x "$archive" .deps
done
touch "$stamp"
