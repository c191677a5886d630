#!/bin/bash
# Truncated, late, missing and wrong-id answers, connections that go silent while new ones work, and
# connections cut in the middle, under idempotent and non-idempotent load. Guards against an answer
# that reaches another request, a false "not run", and an order that runs twice (P6, P7, P8).
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
begin_deployment 93 3

# Sets a switch of every upstream: fault_all JSON
fault_all() {
	local region i
	for region in meseta pacifico; do
		for i in 1 2 3; do cluster_fault "$(upstream_control $region 1 $i)" "$1"; done
		for i in 1 2; do cluster_fault "$(upstream_control $region 2 $i)" "$1"; done
	done
}

probe_id=0

# Each probe has its own key and body: a broken connection counts as a crash of the upstream, and two
# of them quarantine the fingerprint, which equal probes would share.
# Whether a lookup and an order through a router are answered in full: served REGION N
served() {
	local entry
	entry=$(cluster_callers "$1" "$2")
	probe_id=$((probe_id + 1))
	curl -sf -m 5 -H "x-key: probe-$probe_id" "http://$entry/history/x" | grep -q '"upstream"' &&
		curl -sf -m 5 -d "body-$probe_id" -H "x-request-id: $1.probe-$$-$probe_id" "http://$entry/orders/new" | grep -q '"upstream"'
}

served_again() {
	local region i
	for region in meseta pacifico; do
		for i in 1 2 3; do
			cluster_wait_for 10 served $region $i || echo "$region-$i: nothing served"
		done
	done
	echo "served again through all routers"
}

run() {
	start_load lookups 15 --path /history/x --rate 80 --keys 300 --request-ids --idempotent --seed 7
	start_load orders 15 --path /orders/new --method POST --body-bytes 300 --rate 40 --request-ids --repeat-percent 10 --seed 8
	sleep 1
	echo "truncated answers"
	fault_all '{"truncate":4}'
	sleep 1
	served_again
	echo "answers to another request"
	fault_all '{"wrong_id":4}'
	sleep 1
	served_again
	echo "connections cut after the request was performed"
	fault_all '{"drop_answers":4}'
	sleep 1
	served_again
	echo "late answers, some after the deadline"
	fault_all '{"late_answer_ms":2300}'
	sleep 1
	fault_all '{"late_answer_ms":0}'
	served_again
	echo "open connections go silent, new ones work"
	fault_all '{"silent_connections":true}'
	served_again
	echo "connections cut in the middle of requests"
	fault_all '{"slow_factor":20,"slow_for_ms":1000}'
	sleep 0.2
	fault_all '{"down":true}'
	sleep 0.2
	fault_all '{"down":false}'
	served_again
	end_load lookups history-
	end_load orders orders-
}

compare_output test/scripts/answers.expected run
