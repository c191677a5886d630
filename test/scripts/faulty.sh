#!/bin/bash
# An upstream closes in the middle of an answer's head and writes an earlier refusal
# once more before an answer on a kept connection. Guards against a success with an empty or short
# body that looks whole, and against "not run" for an order that ran, or that runs a second time.
# mutants: upconn_accept_other_id upconn_accept_cut_head
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

MISSING_BYTES="1 2 3 4 5 12 22 35 60"
ORDERS=6
new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1
coproc SERVER { exec python3 "$ROOT/test/scripts/faulty_server.py" "$IP"; }
read -r port <&"${SERVER[0]}"
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
write_settings 1
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(config_row 00000005 /order/)"
put_row servers u1 "$(upstream_row plain "$IP:$port" ready)"
# order NAME: prints the status of an order and the number of bytes of the answer's body.
order() {
	curl -s -m 20 -o "$WORK/body" -w '%{http_code}' -X POST --data-binary x -H "host: h.example" \
		-H "x-attempt-id: $1-$$" -H "x-time-remaining: 3000" "http://$FRONT1/order/$1"
	echo " $([ "$(cat "$WORK/body")" = ran ] && echo "whole answer")"
}
is_served() { [ "$(order "warm-$RANDOM")" = "200 whole answer" ]; }
wait_until is_served
counts() {
	echo runs >&"${SERVER[1]}"
	read -r _ copies <&"${SERVER[0]}"
}
# After a failure the upstream is paused for up to 2 s; an order that waits for it is refused.
cut_heads() { # KIND
	local n
	for n in $MISSING_BYTES; do
		wait_until is_served
		order "cut-$1-$n"
	done | sort | uniq -c | sed 's/^ *//'
}
echo "-- the head breaks off"
cut_heads length
cut_heads close
after_refusal() { # KIND
	local n
	counts
	local copies_before=$copies
	for n in $(seq "$ORDERS"); do
		wait_until is_served
		order "refuse-$1-$n" >/dev/null
		sleep 0.3
		order "after-$1-$n"
	done | sort | uniq -c | sed 's/^ *//'
	counts
	[ $((copies - copies_before)) -gt 0 ] || echo "no copy was sent"
}
echo "-- a copy of an earlier refusal, with its id"
after_refusal id
echo "-- a copy of an earlier refusal, without an id"
after_refusal none
finish "$(dirname "$0")/faulty.expected"
