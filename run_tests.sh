#!/usr/bin/env bash
# Set up the environment and run the tests.
set -euo pipefail
cd "$(dirname "$0")"
. ./set_up.sh
exec "$VENV/bin/python" -m tests "$@"
