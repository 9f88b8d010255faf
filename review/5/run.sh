#!/usr/bin/env bash
# Run this case; TROUBLE=0 runs it without the disruption.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
