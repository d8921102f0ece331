#!/usr/bin/env bash
# Checks the formatting and runs the linter over all sources except generated code. `--fix` only formats in
# place.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'platform/*.cpp' 'platform/*.h' 'test/*.cpp' 'test/*.h' 'tools/*.cpp' 'tools/*.h' | grep -v _generated.h)
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run --Werror "${files[@]}"
cmake -S . -B "${MANGOQUAY_BUILD:-build}" -G Ninja >/dev/null
log="${MANGOQUAY_BUILD:-build}/lint.log"
status=0
printf '%s\n' "${files[@]}" | grep '\.cpp$' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p "${MANGOQUAY_BUILD:-build}" --quiet > "$log" 2>/dev/null || status=$?
if [ "$status" -ne 0 ]; then
    cat "$log"
    echo "lint: failed"
    exit 1
fi
echo "lint: clean (${#files[@]} files)"
