#!/usr/bin/env bash
# Usage: build.sh [DIRECTORY] [CMAKE-ARGUMENTS...]. Builds all targets in DIRECTORY (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${1:-build}
shift || true
cmake -S . -B "$directory" -G Ninja "$@" >"/tmp/fescue-cmake.$$" || { cat "/tmp/fescue-cmake.$$"; exit 1; }
rm -f "/tmp/fescue-cmake.$$"
NINJA_STATUS="[%f/%t %es] " ninja -C "$directory"
