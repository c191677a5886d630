#!/bin/bash
# Callers send bodies far over the limit, and heads of very many short fields. Guards against a gateway
# that reads and keeps what it will refuse.
# shellcheck source=test/scripts/door_lib.sh
. "$(dirname "$0")/door_lib.sh"
run_door "$(dirname "$0")/doorover.expected" "$CALLERS" one over overchunked fields
