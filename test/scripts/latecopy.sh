#!/bin/bash
# An upstream answers an order as not run and sends a second copy of this answer when the order comes
# again on the same connection, where it runs. The copy bears the order's id. Guards against taking the
# copy for the answer, which refuses an order as not run that ran, or runs it a second time.
# mutants: forward_resend_on_conn
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

ORDERS=10
new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1
coproc SERVER { exec python3 "$ROOT/test/scripts/latecopy_server.py" "$IP"; }
read -r port <&"${SERVER[0]}"
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
write_settings 1
# Every order is sent again, right after the start of the gateway.
sed -i 's,retry-budget-slack=60,retry-budget-slack=6000,' "$WORK/gateway-1.conf"
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(config_row 00000005 /order/ | sed 's/"priority":1,"service":"plain","max-attempts":2,"allowed-regions":\["r1"\]/"priority":1,"service":"keys","max-attempts":3,"allowed-regions":[]/')"
put_row servers u1 "$(upstream_row keys "$IP:$port" ready)"
# order N: prints the status of an order.
order() {
	curl -s -m 20 -o /dev/null -w '%{http_code}\n' -X POST --data-binary x -H "host: h.example" \
		-H "x-attempt-id: order-$1-$$" -H "x-time-remaining: 3000" -H "x-shard-key: 5" "http://$FRONT1/order/$1"
}
is_served() { [ "$(order warm)" = 200 ]; }
wait_until is_served
runs() {
	local n
	echo runs >&"${SERVER[1]}"
	read -r n <&"${SERVER[0]}"
	echo "$n"
}
before=$(runs)
for n in $(seq $ORDERS); do order "$n"; done | sort | uniq -c | sed 's/^ *//'
echo "ran: $(($(runs) - before))"
finish "$(dirname "$0")/latecopy.expected"
