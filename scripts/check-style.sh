#!/usr/bin/env bash
# Checks the format of all sources, and runs the linter over those that changed since their last clean verdict.
# usage: check-style.sh BUILD_FOLDER (configured, for the compile commands)
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

mapfile -t sources < <(git ls-files --cached --others --exclude-standard 'src/*.[ch]pp' 'platform/*.[ch]pp' 'lab/*.[ch]pp' 'tests/*.[ch]pp' 'demo/*.[ch]pp' 'soak/*.[ch]pp')
clang-format --dry-run -Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"

mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cpp$' | grep -v '^tests/unit/main.cpp$')
python3 scripts/lint-changed.py "$build" "${units[@]}"
