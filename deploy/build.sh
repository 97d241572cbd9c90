#!/bin/sh
# Installs the required libraries and copies the product's packages to target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -e target/libraries ] || [ requirements.txt -nt target/libraries ] \
    || [ constraints.txt -nt target/libraries ]; then
    python3 -m pip install -q -U --no-warn-conflicts --target target/deps \
        -c constraints.txt -r requirements.txt
    touch target/libraries
fi
changed=
for package in packages/schema/plantaincart_schema packages/core/plantaincart_core \
    packages/router/plantaincart_router platform/plantaincart_platform; do
    name=$(basename "$package")
    # An unchanged package isn't copied again, since running processes may be
    # reading its files.
    if ! diff -rq -x __pycache__ -x tests -x definitions \
        "$package" "target/deps/$name" >/dev/null 2>&1; then
        rm -rf "target/deps/$name"
        cp -r "$package" "target/deps/$name"
        rm -rf "target/deps/$name/tests" "target/deps/$name/definitions"
        find "target/deps/$name" -name tests -type d -prune -exec rm -rf {} +
        changed=1
    fi
done
if [ -n "$changed" ]; then
    python3 -m compileall -q target/deps
fi
