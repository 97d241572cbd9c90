#!/usr/bin/env bash
# Runs all tests except those listed in KNOWN-RED.txt; arguments are passed to pytest.
# Tests of whole systems start ten to twenty processes each, so fewer run in parallel.
set -uo pipefail
cd "$(dirname "$0")/.."
mapfile -t known_red < <(sed -n 's/^test: /--deselect=/p' KNOWN-RED.txt)
pytest=(.venv/bin/pytest "${known_red[@]}" "$@")
status=0
systems=(packages/testing platform/plantaincart_soak)
"${pytest[@]}" -n 4 "${systems[@]/#/--ignore=}" packages platform || status=$?
"${pytest[@]}" -n 3 platform/plantaincart_soak || status=$?
"${pytest[@]}" -n 2 packages/testing || status=$?
exit "$status"
