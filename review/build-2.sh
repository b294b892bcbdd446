#!/bin/sh
# Build the stand-ins of the cases 6 to 10: Python, so they are only compiled.
set -eu
cd "$(dirname "$0")"
test -d ../target/deps/magnoliatrail || sh ../deploy/build.sh
python3 -m compileall -q rig2
