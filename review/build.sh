#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O2 -Wall -Wextra -I. "$source" -o "target/review/case-$number" -pthread
done
