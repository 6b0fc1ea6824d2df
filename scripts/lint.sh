#!/usr/bin/env bash
# Format, file sizes, the share of tests, and clang-tidy over every source file (or those named).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${FESCUE_BUILD:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
echo "== format of ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"
echo "== sizes"
long=$(wc -l "${sources[@]}" | awk '$2 != "total" && $1 > 500')
[ -z "$long" ] || { echo "files over 500 lines, split them: $long"; exit 1; }
count() { git ls-files --cached --others --exclude-standard "$@" | grep -E '\.(cpp|h)$' | xargs cat | wc -l; }
product=$(count src apps standin bench)
tests=$(count test)
echo "product $product lines, tests $tests lines"
[ $((tests * 3)) -le $((product + tests)) ] || { echo "tests are more than a third of the code"; exit 1; }
echo "== clang-tidy"
units=("$@")
[ ${#units[@]} -gt 0 ] || mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$folder" --quiet 2>/dev/null
echo "lint is clean"
