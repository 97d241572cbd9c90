#!/bin/sh
# Plays the case; TROUBLE=0 leaves out outage, restart and cut.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
timeout 118 python3 case.py
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
