#!/usr/bin/env bash
# Usage: sanitize.sh SANITIZER [PATTERN]. Builds with a sanitizer (`address,undefined` or `thread`) and runs the tests
# whose names match PATTERN (default: all).
set -euo pipefail
cd "$(dirname "$0")/.."
sanitizer=$1
pattern=${2:-.}
directory=build-${sanitizer%%,*}
# GCC 12 takes empty optionals for uninitialized values in instrumented code.
scripts/build.sh "$directory" -DFESCUE_SANITIZE="$sanitizer" -DCMAKE_CXX_FLAGS_RELWITHDEBINFO="-O1 -g1" \
    -DCMAKE_CXX_FLAGS="-Wno-maybe-uninitialized"
# A sanitizer report terminates the process, so that the test that uses the process fails.
export TSAN_OPTIONS="halt_on_error=1 exitcode=66"
export ASAN_OPTIONS="halt_on_error=1 exitcode=66 detect_leaks=0"
export UBSAN_OPTIONS="halt_on_error=1 exitcode=66 print_stacktrace=1"
ctest --test-dir "$directory" --output-on-failure -j 2 -R "$pattern"
