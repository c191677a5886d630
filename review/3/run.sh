#!/bin/bash
# TROUBLE=0: without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
export TROUBLE="${TROUBLE:-1}"
exec python3 "$(dirname "$0")/case.py"
