#!/bin/bash
# Builds the stand-ins that the scripts start: they are Python sources beside the scripts and use
# the libraries that the build of the deploy file has put under target/deps.
set -eu
cd "$(dirname "$0")/.."
python3 -X pycache_prefix=target/pycache -m compileall -q review
