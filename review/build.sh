#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, in target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C target/review
