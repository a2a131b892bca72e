#!/bin/sh
# Puts the locked libraries and our compiled packages into target/deps.
set -eu
lock=deploy/requirements.lock
if [ ! -e target/deps.installed ] || [ "$lock" -nt target/deps.installed ]; then
  python3 -m pip install -q --no-deps --upgrade --target target/deps -r "$lock"
  touch target/deps.installed
fi
rm -rf target/deps/chicoryhold target/deps/wiring
cp -R src/chicoryhold platform/wiring target/deps/
python3 -m compileall -q --invalidation-mode unchecked-hash target/deps/chicoryhold target/deps/wiring
