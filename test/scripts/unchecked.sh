#!/bin/bash
# Upstreams that check nothing: an owner of keys is frozen, an entry is paused in the middle of its
# requests, and both go on later. Guards against a second owner of a key (P1): its keys must be
# refused "not run" until the frozen owner returns, because nothing proves that it has ended.
# mutants: mover_ignores_unknown
. "$(dirname "$0")/deployment.sh"
export CLUSTER_CHECKS=false
begin_deployment 96 3

# Outcome of one request for a key through the second router.
key_outcome() {
	curl -s -o /dev/null -D - -m 5 -H "x-key: $1" -H 'x-timeout-ms: 1000' \
		"http://$(cluster_callers meseta 2)/history/x" | tr -d '\r' | sed -n 's/^x-outcome: //ip'
}

owner_of_key() {
	curl -s -m 5 -H "x-key: $1" "http://$(cluster_callers meseta 2)/history/x" |
		python3 -c 'import json, sys; print(json.load(sys.stdin).get("upstream", ""))'
}

run() {
	local key=patient-7 owner entry=meseta-3 outcome
	owner=$(owner_of_key $key)
	# The paused entry is not the broker: this run is about slots that do not come back.
	[ "$(broker_of meseta history 2)" != "$entry" ] || entry=meseta-1
	start_load lookups 12 --path /history/x --rate 100 --keys 300 --request-ids --idempotent --seed 5
	sleep 1
	echo "freeze the owner of a key, and pause an entry"
	cluster_signal "$owner" STOP
	cluster_signal "$entry" STOP
	sleep 4
	# Far more than detection, grant and write would take for an upstream that checks.
	outcome=$(key_outcome $key)
	[ "$outcome" = completed ] && echo "the key was served although its owner may still run"
	echo "the key is not served by another owner"
	cluster_signal "$entry" CONT
	sleep 1
	cluster_signal "$owner" CONT
	echo "the owner goes on"
	cluster_wait_for 30 test_owner_again "$key" "$owner" && echo "the key is served by its owner again"
	end_load lookups history-
}

test_owner_again() { [ "$(owner_of_key "$1")" = "$2" ]; }

compare_output test/scripts/unchecked.expected run
