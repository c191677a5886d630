#!/bin/bash
# Upstreams send truncated, late, missing and wrong-id answers, stop answering on open connections
# while new ones work, and close connections in the middle of requests, under idempotent and
# non-idempotent load. Guards against an answer that reaches another request, a "not run" for a
# request that ran, and a non-idempotent request that runs twice (P6, P7, P8).
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
begin_deployment 93 3

# set_faults_everywhere JSON: sets fault switches of every upstream.
set_faults_everywhere() {
	local region i
	for region in meseta pacifico; do
		for i in 1 2 3; do cluster_fault "$(upstream_control $region 1 $i)" "$1"; done
		for i in 1 2; do cluster_fault "$(upstream_control $region 2 $i)" "$1"; done
	done
}

probe_id=0

# served REGION N: whether a lookup and an order through a router are answered completely. Each
# probe has a key and a body of its own: a broken connection counts as a crash of the upstream, and
# two crashes quarantine the request's fingerprint, which identical probes would share.
served() {
	local entry
	entry=$(cluster_callers "$1" "$2")
	probe_id=$((probe_id + 1))
	curl -sf -m 5 -H "x-key: probe-$probe_id" "http://$entry/history/x" | grep -q '"upstream"' &&
		curl -sf -m 5 -d "body-$probe_id" -H "x-request-id: $1.probe-$$-$probe_id" "http://$entry/orders/new" | grep -q '"upstream"'
}

# Waits until lookups and orders through every router are answered.
wait_served_by_all_routers() {
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
	set_faults_everywhere '{"truncate":4}'
	sleep 1
	wait_served_by_all_routers
	echo "answers with the id of another request"
	set_faults_everywhere '{"wrong_id":4}'
	sleep 1
	wait_served_by_all_routers
	echo "connections closed after the request ran"
	set_faults_everywhere '{"drop_answers":4}'
	sleep 1
	wait_served_by_all_routers
	echo "late answers, some after the deadline"
	set_faults_everywhere '{"late_answer_ms":2300}'
	sleep 1
	set_faults_everywhere '{"late_answer_ms":0}'
	wait_served_by_all_routers
	echo "open connections stop answering, new ones work"
	set_faults_everywhere '{"silent_connections":true}'
	wait_served_by_all_routers
	echo "connections closed in the middle of requests"
	set_faults_everywhere '{"slow_factor":20,"slow_for_ms":1000}'
	sleep 0.2
	set_faults_everywhere '{"down":true}'
	sleep 0.2
	set_faults_everywhere '{"down":false}'
	wait_served_by_all_routers
	finish_load lookups history-
	finish_load orders orders-
}

compare_output test/scripts/answers.expected run
