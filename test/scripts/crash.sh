#!/bin/bash
# A request that crashes every upstream that runs it is repeated through several routers until its
# fingerprint is quarantined; then the operator lifts the quarantine. Guards against a request that
# crashes one upstream after another, and against a quarantine that also blocks other requests with
# the same key.
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
begin_deployment 94 3

CRASHING_BODY=crash-all-upstreams

# send_request ROUTER KEY BODY: prints status and outcome of a request through a router of pacifico.
send_request() {
	curl -s -m 10 -o /dev/null -D - -X POST -H "x-key: $2" -d "$3" \
		"http://$(cluster_callers pacifico "$1")/history/pacifico/scan" | tr -d '\r' |
		awk '/^HTTP/ { status = $2 } /^x-outcome/ { outcome = $2 } END { print status, outcome }'
}

# answer_is ROUTER KEY BODY STATUS-AND-OUTCOME: whether a request gets this answer.
answer_is() { [ "$(send_request "$1" "$2" "$3")" = "$4" ]; }

# Prints the number of runs that crashed an upstream of history.
count_crashes() { cat "$CLUSTER_DIR"/history-*.ledger | grep -c '"result": *"crashed"'; }

# fingerprint ROUTER: prints the fingerprint to lift, as the alarms of a router show it.
fingerprint() {
	cluster_ctl pacifico "$1" status | grep -oE 'bamboocroft-ctl lift [0-9a-f]{16}' | cut -d' ' -f3
}

run() {
	local i router key
	for i in 1 2 3; do
		cluster_fault "$(upstream_control pacifico 1 $i)" "{\"crash_on\":\"$CRASHING_BODY\"}"
	done
	# Upstreams refuse requests until their first grants arrive, which is after the brokers are
	# known.
	cluster_wait_for 30 answer_is 1 key-1 harmless "200 completed"
	echo "before: $(send_request 1 key-1 harmless)"
	# Repeats through all routers of the region, as a caller that retries does.
	for i in 1 2 3 4 5 6 7 8 9; do
		send_request $((i % 3 + 1)) key-1 "$CRASHING_BODY" >>"$CLUSTER_DIR/poison"
	done
	for router in 1 2 3; do
		cluster_wait_for 10 answer_is $router key-1 "$CRASHING_BODY" "422 not-run" || echo "not quarantined by $router"
		echo "pacifico-$router: $(send_request $router key-1 "$CRASHING_BODY")"
	done
	sort "$CLUSTER_DIR/poison" | uniq -c >&2
	echo "upstreams crashed: $(count_crashes)"
	cluster_wait_for 10 answer_is 1 key-1 harmless "200 completed"
	echo "another request with the same key: $(send_request 2 key-1 harmless)"
	for key in key-2 key-3 key-4 key-5 key-6 key-7 key-8; do
		cluster_wait_for 10 answer_is 3 $key harmless "200 completed" || echo "$key: not served"
	done
	echo "upstreams crashed: $(count_crashes)"
	for i in 1 2 3; do
		[ "$(fingerprint $i)" = "$(fingerprint 1)" ] || echo "pacifico-$i: another fingerprint in status"
	done
	echo "lift"
	for i in 1 2 3; do
		# Fails for the upstreams that crashed.
		cluster_fault "$(upstream_control pacifico 1 $i)" '{"crash_on":""}' || true
	done
	cluster_ctl pacifico 1 lift "$(fingerprint 1)" --yes >"$CLUSTER_DIR/lift.txt" 2>&1 || cat "$CLUSTER_DIR/lift.txt"
	for router in 1 2 3; do
		cluster_wait_for 10 answer_is $router key-1 "$CRASHING_BODY" "200 completed"
		echo "pacifico-$router: $(send_request $router key-1 "$CRASHING_BODY")"
	done
	echo "upstreams crashed: $(count_crashes)"
}

compare_output test/scripts/crash.expected run
