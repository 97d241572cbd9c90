#!/usr/bin/env bash
# Runs all tests but those listed in KNOWN-RED.txt; more options go to pytest.
# Tests of whole systems start some ten processes each, so they run two at a time.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t known_red < <(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)
pytest=(.venv/bin/pytest "${known_red[@]}" "$@")
status=0
"${pytest[@]}" -n 4 --ignore=packages/testing packages platform || status=$?
"${pytest[@]}" -n 2 packages/testing || status=$?
exit "$status"
