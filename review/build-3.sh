#!/bin/sh
# Builds the programs of the third review into target/review-3/. Needs a C++20 compiler and nothing else.
# Run one at the root of the repository, after the build of the deploy file: RECORD=FILE target/review-3/NAME
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compiler=${CXX:-c++}
flags="-std=c++20 -O1 -pthread -Wall -Wextra"
# shellcheck disable=SC2086
"$compiler" $flags -c review/standins-3/mesh.cpp -o "$out/mesh.o"
for source in review/standins-3/*.cpp; do
  name=$(basename "$source" .cpp)
  [ "$name" = mesh ] && continue
  # shellcheck disable=SC2086
  "$compiler" $flags "$source" "$out/mesh.o" -o "$out/$name"
done
