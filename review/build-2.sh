#!/usr/bin/env bash
# Builds what the scripts of cases 6 to 10 start besides the program of the deploy file, in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/support-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
ninja -C target/review-2 review-cases
