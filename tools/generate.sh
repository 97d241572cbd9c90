#!/usr/bin/env bash
# Generates the frozen data classes of the schema package from its definitions.
# usage: tools/generate.sh [OUTPUT_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
package=packages/schema/plantaincart_schema
output=${1:-$package/generated}
mkdir -p "$output"
for definition in "$package"/definitions/*.yaml; do
    name=$(basename "$definition" .yaml)
    .venv/bin/datamodel-codegen \
        --input "$definition" --input-file-type jsonschema \
        --output "$output/$name.py" \
        --output-model-type dataclasses.dataclass --frozen-dataclasses \
        --keyword-only --target-python-version 3.11 \
        --use-standard-collections --use-union-operator \
        --use-schema-description --use-field-description --use-double-quotes \
        --disable-timestamp --strict-nullable --formatters builtin \
        --custom-file-header "\"\"\"Data classes generated from definitions/$name.yaml; do not edit.\"\"\""
    .venv/bin/ruff format --quiet "$output/$name.py"
done
