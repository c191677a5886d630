#!/bin/bash
# The address of the owner of all keys belongs to an upstream of another service now, and the old
# registration stands. Guards against sending a request there twice: the second arrival counts
# against the retry budget of a service that the gateway never meant.
# mutants: forward_trust_address fleet_ignore_displaced
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

REQUESTS=60
new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1 UP3 UPC3
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u3 standin-keyed --listen "$UP3" --control "$UPC3" --id u3
wait_port "$STORE" "$STORE_CONTROL" "$UP3" "$UPC3"
write_settings 1
# The retry budget is not what keeps requests from being sent again here.
sed -i 's,retry-budget-slack=60,retry-budget-slack=6000,' "$WORK/gateway-1.conf"
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(config_row 00000005 /order/)"
put_row servers u1 "$(upstream_row keys "$UP3" ready)"
put_row servers u3 "$(upstream_row plain "$UP3" ready)"
wait_until grep -q 'granted to upstream' "$WORK/gateway-1.log"

# count KEY: prints a count of u3.
count() { curl -s -m 20 "$UPC3/counts" | python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }
for n in $(seq $REQUESTS); do
	curl -s -m 20 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-$n-$$" \
		-H "x-time-remaining: 3000" -H "x-shard-key: $((n * 1000))" "http://$FRONT1/look/$n"
	sleep 0.05
done | sort | uniq -c | sed 's/^ *//'
echo "arrived a second time: $(count refused-again)"
tries=$(count misplaced)
[ "$tries" -le 3 ] || echo "requests sent to u3: $tries"
echo "-- the upstream of that address serves its own service"
curl -s -m 20 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-own-$$" \
	-H "x-time-remaining: 3000" "http://$FRONT1/read/1"
finish "$(dirname "$0")/reused.expected"
