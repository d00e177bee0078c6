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
# Without times: a copy of the folder may change those of the sources, and then
# each start would compile every module.
python3 -m compileall -q -f --invalidation-mode unchecked-hash target/deps
# A start without this file compiles the methods of all attrs classes.
PYTHONPATH=target/deps python3 -m gypsumrelay_adapter.method_cache
