#!/usr/bin/env bash
# Installs everything that the build, the tests and the checks need, from Debian's packages.
set -euo pipefail
packages=(
    g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev git jq curl
    libpistache-dev libcurl4-openssl-dev libcapnp-dev libboost1.81-dev libboost-log1.81-dev libboost-json1.81-dev
    libgflags-dev libopentracing-dev libgtest-dev libbenchmark-dev librapidcheck-dev libssl-dev spin
)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
