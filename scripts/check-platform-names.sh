#!/usr/bin/env bash
# The platform's own names may stand in its adapter, the deploy files, the tests and the stand-ins only.
# Takes the names from platform/names.hpp: those that no other system would use by chance, which are the ones
# with a capital, a hyphen or a slash, without the headers that HTTP itself defines.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t names < <(grep -o '"[^"]*"' platform/names.hpp | tr -d '"' | grep '[A-Z/-]' |
    grep -vxE 'Retry-After|Content-Encoding|Authorization' | sort -u)
[ "${#names[@]}" -gt 20 ] || { echo "platform names: only ${#names[@]} found, the check is broken"; exit 1; }

found=0
for name in "${names[@]}"; do
    if grep -rnF "\"$name\"" src demo; then
        echo "platform name outside platform/: $name"
        found=1
    fi
done
[ "$found" -eq 0 ] && echo "platform names: ${#names[@]} stand in platform/ only"
exit "$found"
