#!/usr/bin/env bash
# Builds the stand-ins of the second review: plain Python without dependencies, compiled so that faults show.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins-2 4 5 6 7 8 2> /dev/null || python3 -m py_compile standins-2/*.py
