#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt; arguments are passed to pytest.
# Tests of whole systems start about ten processes each, so only two run in parallel.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t known_red < <(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)
pytest=(.venv/bin/pytest "${known_red[@]}" "$@")
status=0
"${pytest[@]}" -n 4 --ignore=packages/testing packages platform || status=$?
"${pytest[@]}" -n 2 packages/testing || status=$?
exit "$status"
