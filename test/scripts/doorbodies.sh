#!/bin/bash
# Callers send bodies of legal size, most of them without their end. Guards against a gateway whose
# memory unfinished bodies exhaust.
# shellcheck source=test/scripts/door_lib.sh
. "$(dirname "$0")/door_lib.sh"
run_door "$(dirname "$0")/doorbodies.expected" "$CALLERS" length pieces chunked bytes whole
