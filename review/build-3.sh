#!/bin/sh
# Builds the stand-ins and the cases of the third review. Needs a C++20 compiler and nothing else.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compiler=${CXX:-c++}
"$compiler" -std=c++20 -O1 -pthread -Wall -Wextra -c review/standins-3/mesh.cpp -o "$out/mesh.o"
for source in review/*/case-3.cpp; do
  name=$(basename "$(dirname "$source")")
  "$compiler" -std=c++20 -O1 -pthread -Wall -Wextra -Ireview/standins-3 "$source" "$out/mesh.o" -o "$out/case-$name"
done
