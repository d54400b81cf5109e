#!/bin/sh
# Runs the case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" && exec python3 -B case.py
