#!/bin/bash
# Requests with home regions, set by route or by client account, through entries outside and inside
# these regions, while other requests are relayed between regions. Guards against a request that is
# served, relayed, logged or stored outside its home regions (P5).
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
export CLUSTER_LOG_LEVEL=debug # requests with home regions must not appear at any log level
begin_deployment 92 3

# Parts of the requests with home regions, which must not appear outside the home region.
HOMED_KEY=homedkey-31
HOMED_ACCOUNT=clinica-pacifico
HOMED_ID=homedorder
HOMED_BODY=homedbody-measures

# send_request REGION N METHOD PATH ID [HEADER...]: sends a request through router N of a region;
# prints the status, the outcome, the entry that the answer names, and the region of the upstream
# that served it.
send_request() {
	local region=$1 n=$2 method=$3 path=$4 id=$5 header arguments=()
	shift 5
	for header in "$@"; do arguments+=(-H "$header"); done
	[ "$method" = GET ] || arguments+=(-d "$HOMED_BODY")
	curl -s -m 10 -i -X "$method" -H "x-request-id: $id" "${arguments[@]}" \
		"http://$(cluster_callers "$region" "$n")$path" | tr -d '\r' | python3 -c '
import re, sys
head, _, body = sys.stdin.read().partition("\n\n")
def first(pattern, text):
    found = re.search(pattern, text, re.M)
    return found.group(1) if found else "-"
print(first(r"^HTTP/1.1 (\d+)", head), first(r"^x-outcome: (.*)$", head),
      "entry", first(r"^x-bamboocroft-entry: (.*)$", head),
      "served in", first(r"\"upstream\":\s*\"\w+-(\w+)-\d", body))'
}

# send_all REGION N ROUND: sends requests of all kinds through one router; ROUND makes the ids
# unique.
send_all() {
	echo "$1-$2, by route, keyed: $(send_request "$1" "$2" GET "/history/pacifico/$HOMED_KEY" "$HOMED_ID-rk-$3" "x-key: $HOMED_KEY")"
	echo "$1-$2, by account, keyed: $(send_request "$1" "$2" GET "/history/$HOMED_KEY" "$HOMED_ID-ak-$3" "x-key: $HOMED_KEY" "x-account: $HOMED_ACCOUNT")"
	echo "$1-$2, by route, order: $(send_request "$1" "$2" POST /orders/pacifico/new "$HOMED_ID-ro-$3" "x-key: $HOMED_KEY")"
	echo "$1-$2, by account, order: $(send_request "$1" "$2" POST /orders/new "$HOMED_ID-ao-$3" "x-key: $HOMED_KEY" "x-account: $HOMED_ACCOUNT")"
	# A region name at the start of the id selects that region only if it is one of the home
	# regions.
	echo "$1-$2, id of meseta: $(send_request "$1" "$2" POST /orders/new "meseta.$HOMED_ID-$3" "x-account: $HOMED_ACCOUNT")"
	echo "$1-$2, bad deadline: $(send_request "$1" "$2" GET "/history/pacifico/$HOMED_KEY" "$HOMED_ID-bad-$3" "x-key: $HOMED_KEY" "x-timeout-ms: $HOMED_ID")"
}

# get ADDRESS/PATH: GET with the operators' credential.
get() { curl -sf -m 10 -H "authorization: Bearer $CLUSTER_CREDENTIAL" "http://$1"; }

# Copies to the directory "seen" all that processes outside the home region show or store, and the
# logs, events and metrics of the home region that may be read elsewhere.
collect() {
	local i row
	mkdir "$CLUSTER_DIR/seen"
	for i in 1 2 3; do
		get "$(cluster_operators meseta $i)/events?homed=1" >"$CLUSTER_DIR/seen/events-meseta-$i"
		get "$(cluster_operators meseta $i)/metrics" >"$CLUSTER_DIR/seen/metrics-meseta-$i"
		get "$(cluster_operators meseta $i)/status" >"$CLUSTER_DIR/seen/status-meseta-$i"
		get "$(cluster_operators pacifico $i)/events" >"$CLUSTER_DIR/seen/events-pacifico-$i"
		get "$(cluster_operators pacifico $i)/metrics" >"$CLUSTER_DIR/seen/metrics-pacifico-$i"
		cp "$CLUSTER_DIR/meseta-$i.log" "$CLUSTER_DIR/pacifico-$i.log" "$CLUSTER_DIR/seen"
	done
	cp "$CLUSTER_DIR"/*-meseta-*.ledger "$CLUSTER_DIR/seen"
	# The configuration may name the account, since operators entered it.
	for row in $(get "$(cluster_ip 0 1):7001/rows" | grep -o '"row": *"[^"]*"' | cut -d'"' -f4); do
		get "$(cluster_table)/t/$row" >"$CLUSTER_DIR/seen/row-${row//\//-}"
		[ "$row" != config ] || sed -i "s/$HOMED_ACCOUNT//g" "$CLUSTER_DIR/seen/row-config"
	done
	get "$(cluster_ip 0 2):7001/counts" >"$CLUSTER_DIR/seen/objects"
}

# found_in WHAT FILE-PREFIX...: prints whether any of the collected files contains a part of a
# request with home regions.
found_in() {
	local what=$1 prefix files=()
	shift
	for prefix in "$@"; do files+=("$CLUSTER_DIR/seen/$prefix"*); done
	[ -s "${files[0]}" ] || echo "nothing was collected for $what"
	if grep -alE "$HOMED_KEY|$HOMED_ACCOUNT|$HOMED_ID|$HOMED_BODY" "${files[@]}" >&2; then
		grep -ahoE ".{0,80}($HOMED_KEY|$HOMED_ACCOUNT|$HOMED_ID|$HOMED_BODY).{0,20}" "${files[@]}" | head -n 5 >&2
		echo "$what: found"
	else
		echo "$what: nothing"
	fi
}

# Prints whether routers of meseta relayed requests without home regions during the run. If they
# relayed none, the run does not test that requests with home regions are not relayed.
other_requests_relayed() {
	if cat "$CLUSTER_DIR"/seen/metrics-meseta-* | grep -qE 'relays_sent_total [1-9]'; then echo yes; else echo no; fi
}

run() {
	start_load lookups 8 --path /history/x --rate 60 --keys 200 --request-ids --idempotent --seed 5
	start_load orders 8 --path /orders/new --method POST --body-bytes 200 --rate 30 --request-ids --seed 6
	sleep 1
	echo "wrong region"
	send_all meseta 1 a
	send_all meseta 2 b
	echo "right region"
	send_all pacifico 1 a
	send_all pacifico 3 c
	echo "repeat of an order: $(send_request pacifico 2 POST /orders/new "$HOMED_ID-ao-a" "x-key: $HOMED_KEY" "x-account: $HOMED_ACCOUNT")"
	echo "repeat in the wrong region: $(send_request meseta 3 POST /orders/new "$HOMED_ID-ao-a" "x-key: $HOMED_KEY" "x-account: $HOMED_ACCOUNT")"
	finish_load lookups history-
	finish_load orders orders-
	collect
	echo "other requests relayed meanwhile: $(other_requests_relayed)"
	echo "requests with a home region, found elsewhere"
	found_in "logs of the other region" meseta-
	found_in "events of the other region" events-meseta-
	found_in "metrics and status of the other region" metrics-meseta- status-meseta-
	found_in "ledgers of the other region" history-meseta- orders-meseta-
	found_in "table rows" row-
	found_in "object store" objects
	found_in "logs of the home region, which may be collected elsewhere" pacifico-
	found_in "events and metrics of the home region for others" events-pacifico- metrics-pacifico-
}

compare_output test/scripts/homes.expected run
