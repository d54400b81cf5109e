#!/bin/sh
# Builds the stand-ins of the second review, and those of the project that its scripts start (none).
# Run after the build of the deploy file, whose libraries the stand-ins use. Needs no network.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/cbor2
python3 -X pycache_prefix=target/pycache -m compileall -q review/standins-2
