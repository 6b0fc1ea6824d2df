#!/usr/bin/env bash
# Installs the Debian packages that the build, the tests and the linters need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang-format clang-tidy
    librestinio-dev libasio-dev libwebsocketpp-dev libhttp-parser-dev libcurl4-openssl-dev libssl-dev
    nlohmann-json3-dev libyaml-cpp-dev libgflags-dev libspdlog-dev libfmt-dev libexpected-dev
    libboost-dev libxxhash-dev libcppunit-dev librapidcheck-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0
echo "installing: ${missing[*]}"
run=()
[ "$(id -u)" -eq 0 ] || run=(sudo)
"${run[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${run[@]}" apt-get install -y -qq "${missing[@]}" >/dev/null
