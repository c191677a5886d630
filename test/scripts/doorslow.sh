#!/bin/bash
# Many callers send and read slowly or stop half-way. Guards against a gateway whose descriptors or
# memory they hold.
# shellcheck source=test/scripts/door_lib.sh
. "$(dirname "$0")/door_lib.sh"
run_door "$(dirname "$0")/doorslow.expected" "$MANY_CALLERS" halfheads slowheads slowreaders
