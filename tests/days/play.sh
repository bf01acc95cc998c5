#!/usr/bin/env bash
# Plays days of our own on a site of the users' bench: each kind of trouble twice in a day, and each together with the
# store down, a configuration change, leaving servers and, at the end, a loss of power everywhere. Prints a table.
#
# usage: tests/days/play.sh BENCH SITE [PATTERN]      (run in the repository; JOBS, default 3, days at a time;
# PLAY_OPTIONS=--small plays a large site's small twin)
set -euo pipefail
bench=$1
site=$2
pattern=${3:-.}
jobs=${JOBS:-3}
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# NAME | the fields of the trouble, without its time
troubles=$(grep -v '^#' "$(dirname "$0")/troubles.txt" | grep -E "$pattern")

write_day() { # NAME SEED FAULTS PLAN CLOSING
    printf 'name = "%s"\nslot = "trouble"\nseed = %s\none = 1.0\nzero = 0.0\ngoal = { floor = 0.3 }\n' "$1" "$2"
    [ -z "$5" ] || printf 'closing = %s\n' "$5"
    # A large site's standard days name about this divisor for their small twins.
    [ "${PLAY_OPTIONS:-}" != --small ] || printf 'small = { shrink = 21.0 }\n'
    printf 'plan = [\n%s]\nfaults = [\n%s]\n' "$4" "$3"
}

seed=100
while IFS='|' read -r name fields; do
    name=$(echo "$name" | xargs)
    seed=$((seed + 1))
    write_day "$name-twice" "$seed" \
        "  { at = 4.0, $fields },
  { at = 15.0, $fields },
" "" "" > "$folder/$name-twice.toml"
    write_day "$name-pairs" "$seed" \
        "  { at = 5.0, $fields },
  { at = 4.0, kind = \"platform_down\", for_s = 5.0, how = \"silent\" },
  { at = 16.0, $fields },
" \
        "  { at = 6.0, kind = \"config_change\", how = \"route\" },
  { at = 7.0, kind = \"scale_in\", share = 0.1 },
  { at = 17.0, kind = \"config_change\", how = \"weights\" },
" '{ kind = "power_off_all", down_s = 1.0, how = "" }' > "$folder/$name-pairs.toml"
done <<< "$troubles"

play() { # FILE
    local name report
    name=$(basename "$1" .toml)
    report="$1.report"
    if ! "$bench" run "$site" "$1" ${PLAY_OPTIONS:-} --report "$report" --why "day of our own: $name" > "$1.out" 2>&1; then
        if [ ! -s "$report" ]; then
            printf '%-34s not played: %s\n' "$name" "$(tail -n 1 "$1.out")"
            return
        fi
    fi
    jq -r --arg name "$name" \
        '[$name, (.served | tostring), (if .breaks == {} then "none" else (.breaks | keys | join(",")) end),
          (.fault // "none")] | "\(.[0]) served \(.[1]) broken \(.[2]) fault \(.[3])"' "$report"
}
export -f play
export bench site
export PLAY_OPTIONS=${PLAY_OPTIONS:-}
find "$folder" -name '*.toml' | sort | xargs -P "$jobs" -I{} bash -c 'play {}' | sort
