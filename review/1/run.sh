#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
command -v python3 > /dev/null || exit 2
exec timeout --preserve-status --kill-after=3 116 python3 -B "$(dirname "$0")/case.py"
