#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into build-review-2/. Each has its stand-ins within itself.
# build-2.sh [CASE ...]: these cases only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
[ $# -gt 0 ] || set -- 6 7 8 9 10
for case in "$@"; do
  [ -f "review/$case/case.cpp" ] || continue
  "${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "build-review-2/case-$case" "review/$case/case.cpp"
done
