#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build/. Needs the compiler of the deploy file's build, nothing else.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for driver in [0-9]*/driver.cpp; do
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -Icommon -o "build/case-$(dirname "$driver")" "$driver"
done
