#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/review-2. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    source=review/$number/main.cc
    [[ -f $source ]] || continue
    g++ -std=c++20 -O2 -Wall -Wextra -I. "$source" -o "target/review-2/case-$number" -pthread
done
