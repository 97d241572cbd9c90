#!/usr/bin/env bash
# Fails if the committed data classes, the settings reference or the capacity tables
# are out of date.
set -euo pipefail
cd "$(dirname "$0")/.."
generated=$(mktemp -d)
trap 'rm -rf "$generated"' EXIT
tools/generate.sh "$generated"
diff --recursive --unified --exclude=__init__.py --exclude=__pycache__ \
    packages/schema/plantaincart_schema/generated "$generated"
.venv/bin/python tools/settings_reference.py --check
.venv/bin/python tools/capacity.py --check
