#!/bin/bash
# Malformed input on the callers', operators' and peers' ports of a router, under sanitizers. Guards
# against a crash, a leak or a side effect of malformed requests and frames: each gets an error
# status or a closed connection, and the router serves afterwards. A router whose ports are in use,
# as when two test runs have the same addresses, must exit with code 1 and without a leak.
. "$(dirname "$0")/deployment.sh"
begin_deployment 97 1

callers_address=$(cluster_callers meseta 1)
operators_address=$(cluster_operators meseta 1)
peers_address=${operators_address%:*}:8002

# status NAME CURL-ARGUMENT...: prints the HTTP status (000: connection closed without an answer).
status() {
	printf '%s: ' "$1"
	curl -s -o "$CLUSTER_DIR/body" -m 20 -w '%{http_code}\n' "${@:2}" || true
}

# send_raw ADDRESS: sends standard input and closes the connection; any answer is discarded.
send_raw() {
	timeout 5 bash -c "exec 3<>/dev/tcp/${1%:*}/${1#*:} && cat >&3 && timeout 1 cat <&3 >/dev/null" 2>/dev/null || true
}

# raw_status NAME BYTES: prints the statuses of all answers on one connection to the callers' port.
# More than one status means that bytes after the first request were parsed as another request.
raw_status() {
	printf '%s: ' "$1"
	printf '%b' "$2" | timeout 10 bash -c "exec 3<>/dev/tcp/${callers_address%:*}/${callers_address#*:} && cat >&3 && cat <&3" 2>/dev/null |
		tr -d '\r' | sed -n 's/^HTTP\/1.1 \([0-9]*\).*/\1/p' | tr '\n' ' '
	echo
}

# Prints the error text in the body of the last answer.
last_error() { python3 -c "import json; print(json.load(open('$CLUSTER_DIR/body'))['error'])"; }

run() {
	local auth="authorization: Bearer $CLUSTER_CREDENTIAL" long
	long=$(head -c 100000 /dev/zero | tr '\0' a)
	status "header of 100,000 bytes" -H @<(echo "x-long: $long") "http://$callers_address/history/x"
	head -c 17000000 /dev/zero >"$CLUSTER_DIR/big"
	raw_status "content-length and transfer-encoding" 'POST /orders/new HTTP/1.1\r\nhost: x\r\nx-request-id: both-1234\r\ncontent-length: 6\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\nGET /history/x HTTP/1.1\r\nhost: x\r\nx-key: k\r\n\r\n'
	raw_status "two content-lengths" 'POST /orders/new HTTP/1.1\r\nhost: x\r\nx-request-id: both-1235\r\ncontent-length: 6\r\ncontent-length: 5\r\n\r\nabcdef'
	status "body over the limit" --data-binary "@$CLUSTER_DIR/big" "http://$callers_address/orders/new"
	status "no such route" "http://$callers_address/nothing"
	status "key missing" "http://$callers_address/history/x"
	status "request id missing" -X POST -d x "http://$callers_address/orders/new"
	last_error
	status "request id malformed" -X POST -H 'x-request-id: a b' -d x "http://$callers_address/orders/new"
	status "deadline malformed" -H 'x-key: k' -H 'x-timeout-ms: 12x' "http://$callers_address/history/x"
	status "deadline too large" -H 'x-key: k' -H 'x-timeout-ms: 99999' "http://$callers_address/history/x"
	status "operators' call on the callers' port" -H "$auth" "http://$callers_address/status"
	status "no credential" "http://$operators_address/status"
	status "wrong credential" -H 'authorization: Bearer wrong' "http://$operators_address/status"
	status "plan that is not JSON" -H "$auth" -d '{' "http://$operators_address/plan"
	status "plan of wrong types" -H "$auth" -d '{"intent":7,"version":"x","yaml":[]}' "http://$operators_address/plan"
	status "unknown intent" -H "$auth" -d '{"intent":"explode"}' "http://$operators_address/plan"
	status "confirm without a plan" -H "$auth" -d '{}' "http://$operators_address/confirm"
	status "unknown call" -H "$auth" "http://$operators_address/nothing"
	printf 'GET /history/x HTTP/1.1\r\nx-key: ' | send_raw "$callers_address"
	printf 'POST /orders/new HTTP/1.1\r\ncontent-length: 100\r\n\r\nhalf' | send_raw "$callers_address"
	printf '\0\0\0\0\1\2\3\4 no protocol\r\n\r\n' | send_raw "$callers_address"
	printf '\377\377\377\377 a frame that is too long' | send_raw "$peers_address"
	printf '\0\0\0\5aaaaa' | send_raw "$peers_address"
	head -c 20000 "$CLUSTER_BIN/bamboocroft-router" | send_raw "$peers_address"
	echo "incomplete requests, incomplete frames and garbage sent"
	status "the router serves afterwards" -H 'x-key: k' "http://$callers_address/history/x"
	cluster_start second bamboocroft-router --settings "$CLUSTER_DIR/meseta-1.yaml"
	wait "${CLUSTER_PID[second]}"
	echo "a second router on the same ports: exit code $?"
	cluster_end meseta-1 TERM
	echo "planned stop: exit code $?"
}

compare_output test/scripts/badinput.expected run
