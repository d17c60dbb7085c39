#!/bin/sh
# Builds the stand-ins of the third review: Python of the standard library alone, so that compiling is all.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins-3 review/9 review/10 review/11 review/12 review/13
