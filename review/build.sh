#!/bin/sh
# Compiles the stand-ins that the scripts start. All are in harness.py and the case.py
# files and need only the standard library, as the build of the deploy file leaves it.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q harness.py */case.py
