#!/bin/bash
# Load above the capacity of cold upstreams while a broker is killed, an entry is paused and one
# upstream turns cold again without reporting it. Also drains an upstream, and takes a failure
# domain out and brings it back. Guards against overload of cold upstreams (P3) and against new
# requests to failure domains that are taken out (P4) and to draining upstreams (P9).
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
begin_deployment 95 3 --cold-limit 1 --service-ms 30

LEAVE_BOUND_MS=3000 # P4, P9: new requests must stop this long after the command

# count REGION SERVICE-NUMBER N NAME: prints one member of an upstream's counts.
count() {
	curl -sf -m 10 "http://$(upstream_control "$1" "$2" "$3")/counts" |
		python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$4"
}

# cold_violations STEP: prints the sum over all upstreams; fails if an upstream does not answer.
cold_violations() {
	local region i
	for region in meseta pacifico; do
		for i in 1 2 3; do curl -sf -m 10 "http://$(upstream_control $region 1 $i)/counts" && echo; done
		for i in 1 2; do curl -sf -m 10 "http://$(upstream_control $region 2 $i)/counts" && echo; done
	done >"$CLUSTER_DIR/counts"
	python3 -c '
import json, sys
counts = [json.loads(line) for line in sys.stdin if line.strip()]
assert len(counts) == 10
print("cold violations after %s:" % sys.argv[1], sum(c["cold_violations"] for c in counts))' "$1" <"$CLUSTER_DIR/counts"
}

# ran_more_than REGION SERVICE-NUMBER N RUNS: whether an upstream has run more requests than RUNS.
ran_more_than() { [ "$(count "$1" "$2" "$3" run)" -gt "$4" ]; }

# arrivals_stopped REGION SERVICE-NUMBER N UTC-MS: prints whether the last request reached the
# upstream at most LEAVE_BOUND_MS after UTC-MS.
arrivals_stopped() {
	local last
	last=$(count "$1" "$2" "$3" last_arrival_utc_ms)
	if [ "$last" -le $(($4 + LEAVE_BOUND_MS)) ]; then
		echo "new work stopped in time"
	else
		echo "last new request $((last - $4)) ms after the command"
	fi
}

# plan_and_confirm INTENT...: carries out an operator's change; prints the output only if it fails.
plan_and_confirm() {
	if ! cluster_ctl meseta 1 plan "$@" --out "$CLUSTER_DIR/step.json" >"$CLUSTER_DIR/step.txt" 2>&1 ||
		! cluster_ctl meseta 1 confirm "$CLUSTER_DIR/step.json" >>"$CLUSTER_DIR/step.txt" 2>&1; then
		cat "$CLUSTER_DIR/step.txt"
	fi
}

run() {
	local broker drained_at taken_out_at ran
	start_load lookups 11 --path /history/x --concurrency 30 --keys 300 --request-ids --idempotent --seed 9
	start_load orders 11 --path /orders/new --method POST --body-bytes 100 --concurrency 20 --request-ids --seed 10
	sleep 1
	cold_violations "the cold start"
	broker=$(broker_of pacifico history)
	if [ "$broker" = pacifico-1 ]; then broker=$(broker_of pacifico orders); fi
	[ "$broker" = pacifico-1 ] || cluster_end "$broker" KILL
	sleep 1.5
	cold_violations "the loss of a broker"
	cluster_signal meseta-3 STOP
	sleep 1
	cluster_signal meseta-3 CONT
	sleep 1
	cold_violations "the pause of an entry"
	echo "drain an upstream"
	cluster_fault "$(upstream_control pacifico 1 1)" '{"drain":true}'
	drained_at=$(count pacifico 1 1 drain_utc_ms)
	echo "take a failure domain out"
	plan_and_confirm take-out meseta-b
	taken_out_at=$(date +%s%3N)
	sleep 4
	echo "drained upstream: $(arrivals_stopped pacifico 1 1 "$drained_at")"
	echo "failure domain, divided by key: $(arrivals_stopped meseta 1 2 "$taken_out_at")"
	echo "failure domain, not divided by key: $(arrivals_stopped meseta 2 2 "$taken_out_at")"
	echo "bring the failure domain back"
	ran=$(count meseta 2 2 run)
	plan_and_confirm bring-back meseta-b
	# Starts another load, since the first may have ended already on a slow machine.
	start_load back 5 --path /orders/new --method POST --body-bytes 100 --concurrency 20 --request-ids --seed 11
	if cluster_wait_for 10 ran_more_than meseta 2 2 "$ran"; then
		echo "used again"
	else
		cluster_status meseta 1 >&2
	fi
	cold_violations "the return"
	# The health answers of the upstream still say warm, so the broker learns of the cold state
	# only when the upstream sheds the first request above the cold limit. The broker must not let
	# a second request above the limit through.
	cluster_fault "$(upstream_control pacifico 2 1)" '{"health_state":"warm","go_cold":true}'
	sleep 2
	[ "$(count pacifico 2 1 cold_violations)" -le 1 ] && echo "turned cold without notice: at most one request above the limit"
	finish_load lookups history-
	finish_load orders orders-
	finish_load back orders-
}

compare_output test/scripts/cold.expected run
