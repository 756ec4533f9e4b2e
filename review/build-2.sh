#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cpp; do
  g++ -std=c++20 -O2 -Wall -Wextra -pthread -o "target/review-2/$(basename "${source}" .cpp)" "${source}" &
done
for job in $(jobs -p); do wait "${job}"; done
