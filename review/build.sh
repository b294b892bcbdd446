#!/bin/sh
# Build the stand-ins that the review's scripts start: they are Python programs.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review target/deps/magnoliatrail/standins
PYTHONPATH=target/deps:review python3 -c "import standins.fleet, standins.http, magnoliatrail.standins.row_store"
