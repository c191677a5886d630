#!/bin/bash
# The address of the owner of all keys belongs to an upstream of another service now, and the old
# registration stands, since the store does not answer. The shard manager does not hear most gateways,
# so it sends nothing either, and finds out nothing about the address. Guards against sending a request
# there twice: the second arrival counts against the retry budget of a service that the gateway never
# meant.
# mutants: forward_trust_address fleet_ignore_displaced
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

REQUESTS=60
# The platform gives an address to another upstream no earlier than this after the end of the former.
REUSE_AFTER_S=2
# Time after which a shard manager without its store and most gateways sends nothing more, with reserve.
SILENCE_S=3
new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1 FRONT2 READY2 PEER2 METRICS2 \
	UP3 UPC1 UPC3
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u1 standin-keyed --keyed --listen "$UP3" --control "$UPC1" --id u1
wait_port "$STORE" "$STORE_CONTROL" "$UP3" "$UPC1"
for n in 1 2; do
	write_settings $n
	# The retry budget is not what keeps requests from being sent again here.
	sed -i 's,retry-budget-slack=60,retry-budget-slack=6000,' "$WORK/gateway-$n.conf"
	start_gateway $n
done
wait_port "$FRONT1" "$READY1" "$FRONT2" "$READY2"
put_row op config "$(config_row 00000005 /order/)"
put_row servers u1 "$(upstream_row keys "$UP3" ready)"
put_row servers u3 "$(upstream_row plain "$UP3" ready)"
is_granted() { grep -q 'granted to upstream' "$WORK/gateway-1.log" "$WORK/gateway-2.log"; }
wait_until is_granted
manager=1
other=2
if grep -q 'granted to upstream' "$WORK/gateway-2.log"; then
	manager=2
	other=1
fi
front=FRONT$manager
FRONT=${!front}
is_served() {
	[ "$(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "host: h.example" -H "x-attempt-id: id-first-$RANDOM" \
		-H "x-shard-key: 1" "http://$FRONT/look/first")" = 200 ]
}
wait_until is_served
wait_until grep -q "peer gateway-$other .* is up" "$WORK/gateway-$manager.log"
stop "gateway-$other" KILL
control "$STORE_CONTROL" '{"refuse":503}'
sleep $SILENCE_S
stop u1
sleep $REUSE_AFTER_S
start u3 standin-keyed --listen "$UP3" --control "$UPC3" --id u3
wait_port "$UP3" "$UPC3"

# count KEY: prints a count of u3.
count() { curl -s -m 20 "$UPC3/counts" | python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }
for n in $(seq $REQUESTS); do
	curl -s -m 20 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-$n-$$" \
		-H "x-time-remaining: 3000" -H "x-shard-key: $((n * 1000))" "http://$FRONT/look/$n"
	sleep 0.05
done | sort | uniq -c | sed 's/^ *//'
echo "arrived a second time: $(count refused-again)"
tries=$(count misplaced)
[ "$tries" -le 3 ] || echo "requests sent to u3: $tries"
echo "-- the upstream of that address serves its own service"
curl -s -m 20 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-own-$$" \
	-H "x-time-remaining: 3000" "http://$FRONT/read/1"
finish "$(dirname "$0")/reused.expected"
