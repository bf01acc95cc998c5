#!/usr/bin/env bash
# Tests lint-changed.py on a small tree of its own: a kept verdict must not outlive a change of the source, of a
# header, of the flags or of the linter's settings, and a finding must never be kept as clean.
set -euo pipefail
scripts=$(cd "$(dirname "$0")" && pwd)
tree=$(mktemp -d)
trap 'rm -rf "$tree"' EXIT
export ANISEHOLD_LINT_CACHE=$tree/verdicts
mkdir -p "$tree/scripts" "$tree/src" "$tree/build"
cp "$scripts/lint-changed.py" "$tree/scripts/"

write_commands() {
    echo "[{\"directory\": \"$tree/build\", \"command\": \"c++ $1 -I$tree/src -c $tree/src/unit.cpp -o unit.o\"," \
        "\"file\": \"$tree/src/unit.cpp\"}]" > "$tree/build/compile_commands.json"
}

# Runs the linter and checks its last line and whether it succeeded.
expect() {
    local what=$1 line=$2 succeeds=$3 output status=0
    output=$(cd "$tree" && python3 scripts/lint-changed.py build src/unit.cpp 2>&1) || status=$?
    [ "$(tail -1 <<< "$output")" = "$line" ] && [ "$([ "$status" -eq 0 ] && echo yes || echo no)" = "$succeeds" ] ||
        { echo "lint-changed, $what: expected \"$line\", got:"; echo "$output"; exit 1; }
}

printf 'Checks: "-*,modernize-use-nullptr"\nWarningsAsErrors: "*"\nHeaderFilterRegex: ".*"\n' > "$tree/.clang-tidy"
echo 'inline int* none() { return nullptr; }' > "$tree/src/unit.hpp"
printf '#include "unit.hpp"\nint* next() { return none(); }\n' > "$tree/src/unit.cpp"
write_commands ""
expect "first run" "lint: 1 files, 1 linted now" yes
expect "nothing changed" "lint: 1 files, 0 linted now" yes
echo '// changed' >> "$tree/src/unit.cpp"
expect "source changed" "lint: 1 files, 1 linted now" yes
write_commands "-DCHANGED"
expect "flags changed" "lint: 1 files, 1 linted now" yes
echo 'inline int* none() { return 0; }' > "$tree/src/unit.hpp"
expect "finding in a header" "lint: 1 files, 1 linted now, NOT clean" no
expect "the same finding again" "lint: 1 files, 1 linted now, NOT clean" no
printf 'Checks: "-*,modernize-use-override"\n' > "$tree/.clang-tidy"
expect "settings changed" "lint: 1 files, 1 linted now" yes
echo "lint-changed: keeps a verdict as long as nothing that it depends on changes"
