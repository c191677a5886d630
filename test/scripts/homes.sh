#!/bin/bash
# Requests with home regions, by route and by client account, through entries of the wrong and of the
# right region while other requests are relayed. Guards against one that is served, relayed, logged
# or stored outside its home regions (P5).
# shellcheck source=test/scripts/deployment.sh
. "$(dirname "$0")/deployment.sh"
export CLUSTER_LOG_LEVEL=debug # no log level may show such a request
begin_deployment 92 3

# What each request sends; nothing of it may appear elsewhere.
KEY=homedkey-31
ACCOUNT=clinica-pacifico
ID=homedorder
BODY=homedbody-measures

# ask REGION N METHOD PATH ID [HEADER...]: prints status, outcome, named entry and upstream's region.
ask() {
	local region=$1 n=$2 method=$3 path=$4 id=$5 header arguments=()
	shift 5
	for header in "$@"; do arguments+=(-H "$header"); done
	[ "$method" = GET ] || arguments+=(-d "$BODY")
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

# Requests of all kinds through one router.
# ask_all REGION N ROUND
ask_all() {
	echo "$1-$2, by route, keyed: $(ask "$1" "$2" GET "/history/pacifico/$KEY" "$ID-rk-$3" "x-key: $KEY")"
	echo "$1-$2, by account, keyed: $(ask "$1" "$2" GET "/history/$KEY" "$ID-ak-$3" "x-key: $KEY" "x-account: $ACCOUNT")"
	echo "$1-$2, by route, order: $(ask "$1" "$2" POST /orders/pacifico/new "$ID-ro-$3" "x-key: $KEY")"
	echo "$1-$2, by account, order: $(ask "$1" "$2" POST /orders/new "$ID-ao-$3" "x-key: $KEY" "x-account: $ACCOUNT")"
	# An id that begins with the name of a region picks that region only among the home regions.
	echo "$1-$2, id of meseta: $(ask "$1" "$2" POST /orders/new "meseta.$ID-$3" "x-account: $ACCOUNT")"
	echo "$1-$2, bad deadline: $(ask "$1" "$2" GET "/history/pacifico/$KEY" "$ID-bad-$3" "x-key: $KEY" "x-timeout-ms: $ID")"
}

get() { curl -sf -m 10 -H "authorization: Bearer $CLUSTER_CREDENTIAL" "http://$1"; }

# Everything that processes outside the home region show or store.
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
	# The configuration names accounts, as operators entered them.
	for row in $(get "$(cluster_ip 0 1):7001/rows" | grep -o '"row": *"[^"]*"' | cut -d'"' -f4); do
		get "$(cluster_table)/t/$row" >"$CLUSTER_DIR/seen/row-${row//\//-}"
		[ "$row" != config ] || sed -i "s/$ACCOUNT//g" "$CLUSTER_DIR/seen/row-config"
	done
	get "$(cluster_ip 0 2):7001/counts" >"$CLUSTER_DIR/seen/objects"
}

# found_in WHAT FILE-PREFIX...: whether any of the files shows a part of such a request.
found_in() {
	local what=$1 prefix files=()
	shift
	for prefix in "$@"; do files+=("$CLUSTER_DIR/seen/$prefix"*); done
	[ -s "${files[0]}" ] || echo "nothing was collected for $what"
	if grep -alE "$KEY|$ACCOUNT|$ID|$BODY" "${files[@]}" >&2; then
		grep -ahoE ".{0,80}($KEY|$ACCOUNT|$ID|$BODY).{0,20}" "${files[@]}" | head -n 5 >&2
		echo "$what: found"
	else
		echo "$what: nothing"
	fi
}

# Whether requests without home regions crossed the link at the same time.
relayed_meanwhile() {
	if cat "$CLUSTER_DIR"/seen/metrics-meseta-* | grep -qE 'relays_sent_total [1-9]'; then echo yes; else echo no; fi
}

run() {
	start_load lookups 8 --path /history/x --rate 60 --keys 200 --request-ids --idempotent --seed 5
	start_load orders 8 --path /orders/new --method POST --body-bytes 200 --rate 30 --request-ids --seed 6
	sleep 1
	echo "wrong region"
	ask_all meseta 1 a
	ask_all meseta 2 b
	echo "right region"
	ask_all pacifico 1 a
	ask_all pacifico 3 c
	echo "repeat of an order: $(ask pacifico 2 POST /orders/new "$ID-ao-a" "x-key: $KEY" "x-account: $ACCOUNT")"
	echo "repeat in the wrong region: $(ask meseta 3 POST /orders/new "$ID-ao-a" "x-key: $KEY" "x-account: $ACCOUNT")"
	end_load lookups history-
	end_load orders orders-
	collect
	echo "other requests relayed meanwhile: $(relayed_meanwhile)"
	echo "requests of a home region, found elsewhere"
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
