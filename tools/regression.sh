#!/usr/bin/env bash
# Scores the sites of deploy/regression.txt on the users' bench, one after the other.
# FLEETBENCH is the bench's program, SITES the folder of the site files; arguments are
# passed on to `score`. Fails if a site misses its gate.
set -euo pipefail
cd "$(dirname "$0")/.."
: "${FLEETBENCH:?names the program of the bench}"
: "${SITES:?names the folder of the site files}"
output=$(mktemp)
trap 'rm -f "$output"' EXIT
status=0
while read -r site jobs; do
    "$FLEETBENCH" score "$SITES/$site" --jobs "$jobs" "$@" </dev/null | tee "$output"
    if ! grep -q "^GATE passed" "$output"; then
        echo "$site: gate missed" >&2
        status=1
    fi
done < <(grep -v '^#' deploy/regression.txt)
exit "$status"
