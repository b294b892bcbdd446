#!/bin/sh
# Put the libraries that the lock file names, and the package, under target/.
set -eu
if ! [ target/deps/.ready -nt requirements.lock ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --disable-pip-version-check --target target/deps \
        -r deploy/requirements.txt -c requirements.lock
    touch target/deps/.ready
fi
rm -rf target/deps/magnoliatrail
cp -R src/magnoliatrail target/deps/magnoliatrail
python3 -m compileall -q target/deps
