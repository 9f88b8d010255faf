#!/usr/bin/env bash
# Compile the stand-ins; they need nothing but the standard library.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins [0-9]*
