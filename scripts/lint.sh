#!/usr/bin/env bash
# Format, file sizes, the names of the platform, and clang-tidy over every source file (or those named).
set -euo pipefail
cd "$(dirname "$0")/.."
folder=${FESCUE_BUILD:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
echo "== format of ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"
echo "== sizes"
long=$(wc -l "${sources[@]}" | awk '$2 != "total" && $1 > 500')
[ -z "$long" ] || { echo "files over 500 lines, split them: $long"; exit 1; }
echo "== names of the platform"
# Only platform/ knows what the platform calls its headers, calls and documents; stand-ins speak for it.
names=$(git grep -nE 'Fescuewinch-[A-Z]|keyed\.(op|servers|status)|log-(append|read|newest|join|commit)' -- 'src/*' 'apps/*') || true
[ -z "$names" ] || { echo "move these names to platform/:"; echo "$names"; exit 1; }
echo "== clang-tidy"
units=("$@")
[ ${#units[@]} -gt 0 ] || mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$folder" --quiet 2>/dev/null
echo "lint is clean"
