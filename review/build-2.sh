#!/bin/sh
# Builds the stand-ins of the scripts in review/6 to review/10: one module, which needs
# nothing but Python.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile installation_2.py
