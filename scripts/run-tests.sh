#!/usr/bin/env bash
# Runs all tests of a build folder; ends with ctest's summary of the tests that count, and with its status.
# Tests that the list of known failures names (each line's text before the first comma) run first, one by one; their
# results are printed and don't count. A name that no test has is an error.
# usage: run-tests.sh BUILD_FOLDER [LIST]      (LIST: KNOWN-RED.txt of the repository; may be empty or missing)
set -euo pipefail
build=$1
list=${2:-"$(dirname "$0")/../KNOWN-RED.txt"}

known=()
[ ! -e "$list" ] || mapfile -t known < <(grep -v '^[[:space:]]*$' "$list" | cut -d, -f1)
[ ${#known[@]} -gt 0 ] || exec ctest --test-dir "$build" --output-on-failure

tests=$(ctest --test-dir "$build" -N | sed -n 's/^ *Test *#[0-9]*: //p')
for name in "${known[@]}"; do
    grep -qxF -- "$name" <<< "$tests" || { echo "$list: no test has the name \"$name\""; exit 1; }
done

patterns=()
for name in "${known[@]}"; do
    pattern=${name//./[.]}
    patterns+=("$pattern")
    result=failed
    ctest --test-dir "$build" --output-on-failure -R "^$pattern\$" > "$build/known-red-$name.log" 2>&1 && result=passed
    echo "known red: $name $result this time ($build/known-red-$name.log)"
done
cat "$list"
ctest --test-dir "$build" --output-on-failure -E "^($(IFS='|'; echo "${patterns[*]}"))\$"
