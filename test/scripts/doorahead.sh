#!/bin/bash
# Callers send requests ahead without end and read no answer. Guards against a gateway that keeps all
# that they send, or the answers that they do not read.
# shellcheck source=test/scripts/door_lib.sh
. "$(dirname "$0")/door_lib.sh"
run_door "$(dirname "$0")/doorahead.expected" "$CALLERS" ahead aheadbodies
