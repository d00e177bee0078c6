#!/bin/sh
# Builds the stand-ins of the scripts; they need Python 3.11 and nothing else.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review
