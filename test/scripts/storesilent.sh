#!/bin/bash
# The store is away for all gateways, silent or refusing, while a gateway that is not shard manager is
# killed, paused, or neither. Guards against keys without service because of the store alone: leases
# that are not renewed since a gateway that waits in an open call passes for one that reaches the store.
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

GATEWAYS=5
OUTAGE_SECONDS=18 # of the store; leases last 4 s
SERVED_PERCENT=98 # of the requests from 1 s into the outage to its end
KEYS=(5 9000 20000 30000 40000 50000 65535)
new_address STORE STORE_CONTROL STORE_SECOND
for i in 1 2 3 4; do new_address "UP$i" "UPC$i"; done
for i in $(seq $GATEWAYS); do new_address "FRONT$i" "READY$i" "PEER$i" "METRICS$i"; done

# call_all GATEWAY: whether each key is served through the gateway.
call_all() {
	local key front=FRONT$1
	for key in "${KEYS[@]}"; do
		[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "host: h.example" -H "x-attempt-id: id-$1-$key-$RANDOM$RANDOM" \
			-H "x-time-remaining: 3000" -H "x-shard-key: $key" "http://${!front}/look/1")" = 200 ] || return 1
	done
}
# shard_manager: prints the number of the gateway that became shard manager last.
shard_manager() {
	local i
	for i in $(seq $GATEWAYS); do
		grep -o 'keeper of keys in term [0-9]*, fence' "$WORK/gateway-$i.log" | sed "s/.*term \([0-9]*\),.*/\1 $i/"
	done | sort -n | tail -n 1 | cut -d" " -f2
}
# outage NAME ON OFF COMMAND...: the store is away by the switches ON until OFF; the command runs within.
outage() {
	local name=$1 on=$2 off=$3 fronts=() i front counts client
	shift 3
	for i in $(seq $GATEWAYS); do wait_until call_all "$i"; done
	manager=$(shard_manager)
	other=$((manager % GATEWAYS + 1))
	for i in $(seq $GATEWAYS); do
		front=FRONT$i
		[ "$i" = $other ] || fronts+=("${!front}")
	done
	control "$STORE_CONTROL" "$on"
	sleep 1
	python3 "$(dirname "$0")/storesilent_client.py" $((OUTAGE_SECONDS - 1)) "${fronts[@]}" >"$WORK/served" 2>>"$WORK/notes" &
	client=$!
	sleep 1
	"$@"
	wait $client
	control "$STORE_CONTROL" "$off"
	read -ra counts <"$WORK/served"
	echo "$name: ${counts[*]}" >>"$WORK/notes"
	echo "$name, at least $SERVED_PERCENT % served: $([ $((counts[0] * 100)) -ge $((counts[1] * SERVED_PERCENT)) ] && echo yes || echo no)"
}
kill_other() { stop "gateway-$other" KILL; }
pause_other() { kill -STOP "${PIDS[gateway-$other]}"; }

start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
for i in 1 2 3 4; do
	address=UP$i control=UPC$i
	start "u$i" standin-keyed --listen "${!address}" --control "${!control}" --id "u$i" --keyed --ledger "$WORK/u$i.ledger"
	wait_port "${!address}" "${!control}"
done
wait_port "$STORE" "$STORE_CONTROL"
put_row op config "$(config_row 00000005 /order/)"
for i in 1 2 3 4; do
	address=UP$i
	put_row servers "u$i" "$(upstream_row keys "${!address}" ready "d$((i % 2 + 1))")"
done
for i in $(seq $GATEWAYS); do
	write_settings "$i"
	[ "$i" -le 3 ] || sed -i 's/^zone=.*/zone=d2/; s/^region=.*/region=r2/' "$WORK/gateway-$i.conf"
	start_gateway "$i"
done
for i in $(seq $GATEWAYS); do wait_until call_all "$i"; done
sleep 12 # all gateways vote by then

outage "silent" '{"hang":true}' '{"hang":false}' true
outage "silent, one gateway killed" '{"hang":true}' '{"hang":false}' kill_other
start_gateway "$other"
outage "silent, one gateway paused" '{"hang":true}' '{"hang":false}' pause_other
kill -CONT "${PIDS[gateway-$other]}"
outage "refusing" '{"refuse":503}' '{"refuse":0}' true
python3 "$(dirname "$0")/keys_check.py" "$WORK"/u?.ledger 2>>"$WORK/notes"
finish "$(dirname "$0")/storesilent.expected"
