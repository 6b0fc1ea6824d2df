#!/usr/bin/env bash
# Usage: lint.sh [SOURCES...]. Checks format, file sizes and platform names in all files, and runs clang-tidy on all
# sources or those given.
set -euo pipefail
cd "$(dirname "$0")/.."
directory=${FESCUE_BUILD:-build}
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.h')
echo "== format of ${#sources[@]} files"
clang-format --dry-run --Werror "${sources[@]}"
echo "== file sizes"
long=$(wc -l "${sources[@]}" | awk '$2 != "total" && $1 > 500')
[ -z "$long" ] || { echo "files over 500 lines; split them: $long"; exit 1; }
echo "== platform names"
# Only platform/ may use the names of platform headers, calls and documents; the stand-ins emulate the platform.
names=$(git grep -nE 'Fescuewinch-[A-Z]|keyed\.(op|servers|status)|log-(append|read|newest|join|commit)' -- 'src/*' 'apps/*') || true
[ -z "$names" ] || { echo "platform names outside platform/; move them there:"; echo "$names"; exit 1; }
echo "== clang-tidy"
units=("$@")
[ ${#units[@]} -gt 0 ] || mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$directory" --quiet 2>/dev/null
echo "no lint findings"
