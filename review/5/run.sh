#!/bin/sh
# Plays the case; TROUBLE=0 leaves out the late copies.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1
exec timeout 118 python3 case.py
