#!/bin/sh
# Installs the locked libraries and this project's packages under target/deps.
set -eu
mkdir -p target/deps
if ! cmp -s requirements/runtime.txt target/requirements.txt; then
    python3 -m pip install -q --disable-pip-version-check --root-user-action=ignore \
        --require-hashes --upgrade --target target/deps -r requirements/runtime.txt
    cp requirements/runtime.txt target/requirements.txt
fi
rm -rf target/deps/gypsumrelay_*
for package in libs/*/src/gypsumrelay_* platform/gypsumrelay_*; do
    case "$package" in
        *_standins | *_demo | *_bench | *.egg-info) ;;
        *) cp -R "$package" target/deps/ ;;
    esac
done
python3 -m compileall -q target/deps
