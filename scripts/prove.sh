#!/usr/bin/env bash
# Runs the proofs of what must always hold, one by one, with real processes.
# usage: prove.sh [--build FOLDER] [--without MECHANISM] [SUBJECT...]
# With --without the mechanism is switched off in all daemons: the proofs that rest on it must be violated.
# Ends with "prove: held=N violated=N"; exits with 0 only if none was violated.
set -uo pipefail
cd "$(dirname "$0")/.."

build=build
without=
subjects=()
while [ $# -gt 0 ]; do
    case "$1" in
        --build) build=$2; shift 2 ;;
        --without) without=$2; shift 2 ;;
        *) subjects+=("$1"); shift ;;
    esac
done
[ ${#subjects[@]} -gt 0 ] || subjects=(retries shedding answers outcomes late-refusals claims leaving stops table tenants)

held=0
violated=0
for subject in "${subjects[@]}"; do
    while IFS= read -r name; do
        [ -n "$name" ] || continue
        # A comma would separate two names; a name that fits no test must not count as held.
        if ANISEHOLD_WITHOUT=$without "$build/tests/integration_tests" --warn NoTests "${name//,/\\,}" \
            > "$build/prove.log" 2>&1; then
            held=$((held + 1))
            echo "held      $name"
        else
            violated=$((violated + 1))
            echo "violated  $name"
            grep -A 3 'FAILED:' "$build/prove.log" | sed 's/^/          /'
        fi
    done < <("$build/tests/integration_tests" --list-test-names-only "[$subject]")
done
echo "prove: held=$held violated=$violated"
[ "$violated" -eq 0 ]
