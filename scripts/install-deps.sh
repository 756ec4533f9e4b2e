#!/usr/bin/env bash
# Installs every Debian package that building, linting and testing coursepond needs.
# Idempotent: asks the package manager only when a package is missing.
set -euo pipefail

readonly packages=(
  g++ make cmake ninja-build ccache mold git
  clang-format clang-tidy
  libasan8 libubsan1
  libboost1.81-dev
  libcxxopts-dev libgoogle-glog-dev doctest-dev nlohmann-json3-dev
  libtomlplusplus-dev prometheus-cpp-dev librapidcheck-dev
  libssl-dev libzstd-dev libbenchmark-dev
  curl
)

missing=()
for package in "${packages[@]}"; do
  status=$(dpkg-query --show --showformat='${Status}' "${package}" 2>/dev/null || true)
  if [[ "${status}" != "install ok installed" ]]; then
    missing+=("${package}")
  fi
done

if ((${#missing[@]} == 0)); then
  echo "install-deps: all packages present"
  exit 0
fi

echo "install-deps: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
as_root=()
if [[ $(id -u) -ne 0 ]]; then
  as_root=(sudo)
fi
"${as_root[@]}" apt-get update -qq
"${as_root[@]}" apt-get install -y -qq --no-install-recommends "${missing[@]}"
