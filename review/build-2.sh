#!/bin/sh
# Builds what the scripts of review/6 to review/10 start, after the build of
# the deploy file. The stand-ins need Python's standard library alone.
set -e
cd "$(dirname "$0")"
test -f ../target/deps/.stamp
python3 -m compileall -q standins-2 6 7 8 9 10
