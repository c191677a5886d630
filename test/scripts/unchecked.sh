#!/bin/bash
# Upstreams that do not check grants: an owner of keys is paused, an entry is paused in the middle
# of its requests, and both are resumed later. Guards against a second owner of a key (P1): requests
# for the owner's keys must be refused as "not run" until the owner is resumed, because until then
# nothing proves that its requests have ended.
# mutants: mover_ignores_unknown
. "$(dirname "$0")/deployment.sh"
export CLUSTER_CHECKS=false
begin_deployment 96 3

# key_outcome KEY: prints the outcome of a request for the key through router meseta-2.
key_outcome() {
	curl -s -o /dev/null -D - -m 5 -H "x-key: $1" -H 'x-timeout-ms: 1000' \
		"http://$(cluster_callers meseta 2)/history/x" | tr -d '\r' | sed -n 's/^x-outcome: //ip'
}

# owner_of_key KEY: prints the upstream that serves the key, or nothing if the request is refused.
owner_of_key() {
	curl -s -m 5 -H "x-key: $1" "http://$(cluster_callers meseta 2)/history/x" |
		python3 -c 'import json, sys; print(json.load(sys.stdin).get("upstream", ""))'
}

run() {
	local key=patient-7 owner entry=meseta-3 outcome
	owner=$(owner_of_key $key)
	# The entry to pause must not be the broker of history: the test needs a broker that goes on
	# running and does not get back the slots that the paused entry has.
	[ "$(broker_of meseta history 2)" != "$entry" ] || entry=meseta-1
	start_load lookups 12 --path /history/x --rate 100 --keys 300 --request-ids --idempotent --seed 5
	sleep 1
	echo "pause the owner of a key, and an entry"
	cluster_signal "$owner" STOP
	cluster_signal "$entry" STOP
	sleep 4
	# If the upstream checked grants, detection of the loss, expiry of the grant and the write
	# of the new owner would take far less than these 4 s.
	outcome=$(key_outcome $key)
	[ "$outcome" = completed ] && echo "the key was served although its owner may still run"
	echo "the key is not served by another owner"
	cluster_signal "$entry" CONT
	sleep 1
	cluster_signal "$owner" CONT
	echo "the owner is resumed"
	cluster_wait_for 30 owner_serves_again "$key" "$owner" && echo "the key is served by its owner again"
	finish_load lookups history-
}

# owner_serves_again KEY UPSTREAM: whether this upstream serves the key.
owner_serves_again() { [ "$(owner_of_key "$1")" = "$2" ]; }

compare_output test/scripts/unchecked.expected run
