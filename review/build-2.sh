#!/bin/sh
# Checks the stand-ins of the second review; run it after deploy/build.sh.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/gypsumrelay_soak ]
python3 -m compileall -q review/standins_2.py review/[6-9]/case.py
PYTHONPATH=review:target/deps python3 -c 'import standins_2'
