#!/bin/bash
# Operators confirm conflicting plans, confirm while the table service fails, and take out a failure
# domain and bring it back under load. Guards against two conflicting plans that both take effect, a
# refusal that does not say who changed what, a confirm that is carried out twice or wrongly
# answered "nothing changed", new requests to a failure domain that is taken out (P4), and
# operators' calls that succeed without the credential.
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
begin_deployment 61 3

table_control=$(cluster_ip 0 1):7001
# Prints the configuration version that router meseta-1 has.
version() { cluster_status meseta 1 | python3 -c 'import json,sys; print(json.load(sys.stdin)["config_version"])'; }

# plan_as OPERATOR REGION N INTENT...: writes the plan to OPERATOR.plan.
plan_as() {
	timeout 60 "$CLUSTER_BIN/bamboocroft-ctl" --router "$(cluster_operators "$2" "$3")" --operator "$1" \
		--credential-file "$CLUSTER_DIR/credential" --out "$CLUSTER_DIR/$1.plan" plan "${@:4}" \
		>"$CLUSTER_DIR/$1.text" || echo "plan of $1 failed"
}

# confirm_as OPERATOR REGION N: confirms OPERATOR.plan; output and exit code go to OPERATOR.said.
confirm_as() {
	timeout 60 "$CLUSTER_BIN/bamboocroft-ctl" --router "$(cluster_operators "$2" "$3")" --operator "$1" \
		--credential-file "$CLUSTER_DIR/credential" confirm "$CLUSTER_DIR/$1.plan" \
		>"$CLUSTER_DIR/$1.said" 2>&1
	echo "exit code $?" >>"$CLUSTER_DIR/$1.said"
}

# plan_id OPERATOR: prints the id of the operator's last plan.
plan_id() { python3 -c 'import json,sys; print(json.load(open(sys.argv[1]))["plan"])' "$CLUSTER_DIR/$1.plan"; }

# in_force_everywhere VERSION: whether all routers have this configuration version.
in_force_everywhere() {
	local region i
	for region in meseta pacifico; do
		for i in 1 2 3; do
			cluster_status $region $i | grep -q "\"config_version\": $1," || return 1
		done
	done
}

# change INTENT...: plans and confirms a change without a competing operator, and waits until all
# routers have it.
change() {
	plan_as carla meseta 1 "$@"
	confirm_as carla meseta 1
	cluster_wait_for 30 in_force_everywhere "$(version)"
}

confirm_conflicting_plans() {
	local winner=ana winner_intent="take-out meseta-b" loser=berta loser_intent="drain orders-meseta-1" undo=bring-back
	echo "== two operators confirm conflicting plans that were made from the same version"
	plan_as ana meseta 1 take-out meseta-b
	plan_as berta pacifico 2 drain orders-meseta-1
	# Slows down the table service, so that both writes are sent before either is carried out.
	cluster_fault "$table_control" '{"slow_ms":300}'
	confirm_as ana meseta 1 &
	local first=$!
	confirm_as berta pacifico 2
	wait $first
	cluster_fault "$table_control" '{"slow_ms":0}'
	if grep -q '^done' "$CLUSTER_DIR/berta.said"; then
		winner=berta winner_intent="drain orders-meseta-1" undo=bring-in loser=ana loser_intent="take-out meseta-b"
	fi
	LOSING_PLAN=$(plan_id $loser)
	sed -E -e "s/127[0-9.:]+/ROUTER/g" -e "s/$winner/WINNER/g" -e "s/'$winner_intent'/'INTENT OF WINNER'/g" \
		-e "s/$loser_intent/INTENT OF LOSER/g" "$CLUSTER_DIR/$winner.said" "$CLUSTER_DIR/$loser.said"
	cluster_wait_for 30 in_force_everywhere 2 && echo "version in force everywhere: $(version)"
	echo "== the plan of the other operator, confirmed again"
	confirm_as $loser meseta 3
	sed -E -e "s/127[0-9.:]+/ROUTER/g" -e "s/$winner/WINNER/g" -e "s/'$winner_intent'/'INTENT OF WINNER'/g" \
		-e "s/$loser_intent/INTENT OF LOSER/g" "$CLUSTER_DIR/$loser.said"
	change $undo "${winner_intent#* }"
	echo "version after the undo: $(version)"
}

confirm_with_lost_answer() {
	local before
	before=$(curl -sf -H "authorization: Bearer $CLUSTER_CREDENTIAL" "http://$(cluster_operators meseta 2)/metrics" |
		awk '$1 == "bamboocroft_store_lost_answers_total" { print $2 }')
	echo "== the table service drops the answer to a confirm"
	plan_as dora meseta 2 drain orders-pacifico-2
	cluster_fault "$table_control" '{"drop_write_answers":1}'
	confirm_as dora meseta 2
	curl -sf -H "authorization: Bearer $CLUSTER_CREDENTIAL" "http://$(cluster_operators meseta 2)/metrics" |
		awk -v before="$before" '$1 == "bamboocroft_store_lost_answers_total" { print "answer lost: " ($2 > before ? "yes" : "no") }'
	sed -E -e "s/127[0-9.:]+/ROUTER/g" -e 's/^(done|already-done):/done or already-done:/' "$CLUSTER_DIR/dora.said"
	cluster_wait_for 30 in_force_everywhere 4 && echo "version in force everywhere: $(version)"
	echo "the same plan through two other routers:"
	confirm_as dora meseta 2
	cat "$CLUSTER_DIR/dora.said"
	confirm_as dora pacifico 3
	cat "$CLUSTER_DIR/dora.said"
	echo "version: $(version)"
}

confirm_during_outage() {
	echo "== a confirm while the table service is down"
	plan_as elsa meseta 1 bring-in orders-pacifico-2
	cluster_fault "$table_control" '{"down":true}'
	# A single request with curl, since bamboocroft-ctl retries until its time limit.
	curl -s -m 30 -w '\nstatus %{http_code}\n' -H "authorization: Bearer $CLUSTER_CREDENTIAL" \
		-d "@$CLUSTER_DIR/elsa.plan" "http://$(cluster_operators meseta 1)/confirm"
	cluster_fault "$table_control" '{"down":false}'
	echo "version: $(version)"
	echo "the same plan after the outage:"
	confirm_as elsa meseta 1
	cat "$CLUSTER_DIR/elsa.said"
	cluster_wait_for 30 in_force_everywhere 5 && echo "version in force everywhere: $(version)"
}

now_ms() { date +%s%3N; }
# count_of SERVICE-NUMBER KEY: prints a count of the service's upstream in meseta-b.
count_of() { curl -sf "http://$(upstream_control meseta "$1" 2)/counts" | python3 -c "import json,sys; print(json.load(sys.stdin)['$2'])"; }
# arrived_since UTC-MS: whether both upstreams of meseta-b got a request after this time.
arrived_since() { [ "$(count_of 1 last_arrival_utc_ms)" -gt "$1" ] && [ "$(count_of 2 last_arrival_utc_ms)" -gt "$1" ]; }

# The upstreams of failure domain meseta-b are history-meseta-2 and orders-meseta-2.
take_domain_out_and_back() {
	local began_at taken_out_at service last
	echo "== a failure domain is taken out and brought back under load"
	began_at=$(now_ms)
	start_load lookups 20 --path /history/x --rate 60 --keys 300 --request-ids --idempotent --seed 3
	start_load orders 20 --path /orders/new --method POST --body-bytes 300 --rate 30 --request-ids --repeat-percent 10 --seed 4
	cluster_wait_for 10 arrived_since "$began_at" && echo "the failure domain gets requests before"
	change take-out meseta-b
	cat "$CLUSTER_DIR/carla.said"
	taken_out_at=$(now_ms)
	TAKE_OUT_PLAN=$(plan_id carla)
	sleep 6
	for service in 1 2; do
		last=$(count_of $service last_arrival_utc_ms)
		echo "service $service: new requests later than 3 s: $([ "$last" -gt $((taken_out_at + 3000)) ] && echo yes || echo no)"
	done
	change bring-back meseta-b
	cat "$CLUSTER_DIR/carla.said"
	began_at=$(now_ms)
	cluster_wait_for 30 arrived_since "$began_at" && echo "the failure domain gets requests again"
	finish_load lookups history-
	finish_load orders orders-
	# An order is refused if its repeat ran first, so one completed attempt of each id is
	# enough.
	echo "requests without a completed answer: $(cat "$CLUSTER_DIR/lookups.out" "$CLUSTER_DIR/orders.out" | python3 -c '
import json, sys
answers = [json.loads(l) for l in sys.stdin]
done = {a["request_id"] for a in answers if a["outcome"] == "completed"}
print(len({a["request_id"] for a in answers} - done))')"
	echo "requests cut at the upstreams of the failure domain: $(cat "$CLUSTER_DIR/history-meseta-2.ledger" "$CLUSTER_DIR/orders-meseta-2.ledger" | grep -cE '"(cancelled|discarded|crashed)"')"
}

# print_call_statuses ADDRESS [CURL-ARGUMENT...]: prints the status of each operators' call.
print_call_statuses() {
	local path
	for path in status config events metrics; do
		echo "GET /$path: $(curl -s -m 10 -o /dev/null -w '%{http_code}' "${@:2}" "http://$1/$path")"
	done
	for path in plan confirm; do
		echo "POST /$path: $(curl -s -m 10 -o /dev/null -w '%{http_code}' "${@:2}" -d "@$CLUSTER_DIR/forged" "http://$1/$path")"
	done
}

call_without_credential() {
	plan_as forged meseta 1 drain orders-pacifico-1
	cp "$CLUSTER_DIR/forged.plan" "$CLUSTER_DIR/forged"
	echo "== operators' port without the credential"
	print_call_statuses "$(cluster_operators meseta 1)"
	echo "== operators' port with a wrong credential"
	print_call_statuses "$(cluster_operators meseta 1)" -H "authorization: Bearer ${CLUSTER_CREDENTIAL}x"
	echo "== callers' port, with the credential"
	print_call_statuses "$(cluster_callers meseta 1)" -H "authorization: Bearer $CLUSTER_CREDENTIAL"
	echo "version: $(version)"
}

# print_timeline TITLE PLAN: prints module, kind and version of the events of one plan, and the
# number of routers that recorded each; leaves out what varies between runs.
print_timeline() {
	local region i routers=()
	for region in meseta pacifico; do
		for i in 1 2 3; do routers+=(--router "$(cluster_operators $region $i)"); done
	done
	echo "== time line of $1"
	timeout 60 "$CLUSTER_BIN/bamboocroft-timeline" "${routers[@]}" --credential-file "$CLUSTER_DIR/credential" \
		--plan "$2" --json | python3 -c '
import json, sys
steps, processes = [], {}
for line in sys.stdin:
    e = json.loads(line)
    # The cause is left out: which routers read a version from the table service and which get it
    # from a peer varies.
    step = "%s %s, version %s" % (e["module"], e["kind"], e.get("version", "-"))
    if step not in processes:
        steps.append(step)
    processes.setdefault(step, set()).add(e["process"])
# Sorted: after a dropped answer the writer may read its row back later than others read it.
for step in sorted(steps):
    print("%s, on %d router(s)" % (step, len(processes[step])))'
}

run() {
	confirm_conflicting_plans
	confirm_with_lost_answer
	confirm_during_outage
	take_domain_out_and_back
	call_without_credential
	print_timeline "the plan that lost the race" "$LOSING_PLAN"
	print_timeline "the confirm whose answer was dropped" "$(plan_id dora)"
	print_timeline "the confirm during the outage" "$(plan_id elsa)"
	print_timeline "the plan that took the failure domain out" "$TAKE_OUT_PLAN"
}

compare_output test/scripts/operators.expected run
