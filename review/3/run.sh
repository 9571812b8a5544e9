#!/usr/bin/env bash
# With TROUBLE=0 the case is played without its disruption.
exec python3 -B "$(dirname "$0")/case.py"
