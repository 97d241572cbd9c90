#!/bin/sh
# Puts the libraries and the product's packages under target/deps.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
if [ ! -e target/libraries ] || [ requirements.txt -nt target/libraries ] \
    || [ constraints.txt -nt target/libraries ]; then
    python3 -m pip install -q -U --no-warn-conflicts --target target/deps \
        -c constraints.txt -r requirements.txt
    touch target/libraries
fi
for package in packages/schema/plantaincart_schema packages/core/plantaincart_core \
    packages/router/plantaincart_router platform/plantaincart_platform; do
    name=$(basename "$package")
    rm -rf "target/deps/$name"
    cp -r "$package" "target/deps/$name"
    rm -rf "target/deps/$name/tests" "target/deps/$name/definitions"
done
python3 -m compileall -q target/deps
