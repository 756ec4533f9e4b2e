#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 1 2 3; do
  [[ -f review/${number}/case.cpp ]] || continue
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -I review/standins \
    "review/${number}/case.cpp" review/standins/*.cpp -o "target/review/case-${number}"
done
