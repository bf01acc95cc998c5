#!/usr/bin/env bash
# Checks that run-tests.sh passes over the tests that the list of known failures names, and over no others.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# STATUS LIST TESTS...: a test whose name begins with "good" passes, any other fails.
expect() {
    local wanted=$1 list=$2 status=0 name
    shift 2
    for name in "$@"; do
        echo "add_test([[$name]] $([[ $name == good* ]] && echo true || echo false))"
    done > "$folder/CTestTestfile.cmake"
    rm -f "$folder/list"
    [ "$list" = missing ] || printf '%s' "$list" > "$folder/list"
    bash run-tests.sh "$folder" "$folder/list" > "$folder/output" 2>&1 || status=1
    [ "$status" -eq "$wanted" ] || { echo "run-tests: status $status, not $wanted, with the list \"$list\""; cat "$folder/output"; exit 1; }
}

expect 0 missing good
expect 0 '' good
expect 1 missing good bad
expect 1 '' good bad
expect 0 $'bad, cause, issue 1\n' good bad
grep -q '^known red: bad failed' "$folder/output"
tail -n 4 "$folder/output" | grep -q '^100% tests passed, 0 tests failed out of 1'
expect 0 $'bad.one, cause\n\ngood.two, cause' good bad.one good.two
grep -q '^known red: good.two passed' "$folder/output"
expect 1 $'bad, cause' good bad not.bad
expect 1 $'bad, cause' good bad bad.too
expect 1 $'bad.one, cause' good bad.one bad-one
expect 1 $'bad.one, cause' good bad.one.more bad.one
expect 1 $'no.such, cause' good
expect 1 $'ba, cause' good bad
echo "run-tests: passes over what the list names, and nothing else"
