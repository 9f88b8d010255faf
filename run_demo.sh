#!/usr/bin/env bash
# Set up the environment and show the main job; --keep leaves it up.
set -euo pipefail
cd "$(dirname "$0")"
. ./set_up.sh
exec "$VENV/bin/python" -m bench.demo "$@"
