#!/usr/bin/env bash
# Builds everything into a folder, `build` unless one is named; further arguments go to CMake.
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${1:-build}
shift || true
cmake -S . -B "$folder" -G Ninja "$@" >"/tmp/fescue-cmake.$$" || { cat "/tmp/fescue-cmake.$$"; exit 1; }
rm -f "/tmp/fescue-cmake.$$"
NINJA_STATUS="[%f/%t %es] " ninja -C "$folder"
