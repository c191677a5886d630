#!/bin/bash
# Upstreams say in their answers that they leave, while their registrations say "ready". Guards against
# requests to them from the gateway that passed such an answer on or from another one: repeated
# registrations, the store being away, a restart or a freeze of the gateway must not bring them back.
# mutants: fleet_ignore_leaving
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

REQUESTS=30
new_address STORE STORE_CONTROL STORE_SECOND
for i in 1 2 3 4 5; do new_address "UP$i" "UPC$i"; done
for i in 1 2; do new_address "FRONT$i" "READY$i" "PEER$i" "METRICS$i"; done
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
for i in 1 2 3 4 5; do
	up=UP$i control=UPC$i keyed=
	[ "$i" -ge 3 ] || keyed=--keyed
	# shellcheck disable=SC2086
	start "u$i" standin-keyed --listen "${!up}" --control "${!control}" --id "u$i" $keyed
	wait_port "${!up}" "${!control}"
done
wait_port "$STORE" "$STORE_CONTROL"
put_row op config "$(config_row 00000005 /order/)"
for i in 1 2; do up=UP$i; put_row servers "u$i" "$(upstream_row keys "${!up}" ready)"; done
for i in 3 4 5; do up=UP$i; put_row servers "u$i" "$(upstream_row plain "${!up}" ready)"; done
for i in 1 2; do
	write_settings "$i"
	start_gateway "$i"
done
sequence=0
# status_of N PATH [KEY]: prints the status of a request through gateway N.
status_of() {
	local front=FRONT$1
	sequence=$((sequence + 1))
	curl -s -m 5 -o /dev/null -w '%{http_code}' -H "host: h.example" -H "x-attempt-id: id-$1-$RANDOM-$sequence" \
		-H "x-time-remaining: 3000" -H "x-shard-key: ${3:-5}" "http://${!front}$2"
}
status_is() { [ "$(status_of "$2" "$3" "${4:-5}")" = "$1" ]; }
arrived() { curl -s -m 20 "$1/counts" | python3 -c 'import json, sys; print(json.load(sys.stdin)["arrived"])'; }
# burst PATH: sends requests through both gateways; prints how many got which status.
burst() {
	local i n
	for n in $(seq "$REQUESTS"); do
		for i in 1 2; do echo "$(status_of "$i" "$1" $((n * 2000)))"; done
	done | sort | uniq -c | sed 's/^ *//'
}
# says_it_leaves N: a request through gateway 1 gets an answer in which uN says that it leaves.
says_it_leaves() {
	local control=UPC$1
	control "${!control}" '{"leaving":"1"}'
	wait_until eval 'status_of 1 '"$2"' $((RANDOM * 2)) >/dev/null; grep -q "upstream u'"$1"' .* says that it leaves" "$WORK/gateway-1.log"'
	wait_until grep -q "upstream u$1 .* says that it leaves" "$WORK/gateway-2.log"
}
for i in 1 2; do
	wait_until status_is 200 "$i" /read/1
	for key in 5 60000; do wait_until status_is 200 "$i" /look/1 "$key"; done
done

echo "-- an upstream without keys leaves"
says_it_leaves 3 /read/1
before=$(arrived "$UPC3")
burst /read/2
echo "-- its registration is repeated"
put_row servers u3 "$(upstream_row plain "$UP3" ready | sed 's/"sequence":1/"sequence":2/')"
burst /read/3
echo "requests of u3 since: $(($(arrived "$UPC3") - before))"

echo "-- an owner of keys leaves; the other one gets its keys"
says_it_leaves 1 /look/1
for key in 5 20000 40000 60000; do wait_until status_is 200 1 /look/1 "$key"; done
for key in 5 20000 40000 60000; do wait_until status_is 200 2 /look/1 "$key"; done
before=$(arrived "$UPC1")
burst /look/2
echo "requests of u1 since: $(($(arrived "$UPC1") - before))"

echo "-- another one leaves while the store is away"
control "$STORE_CONTROL" '{"refuse":503}'
says_it_leaves 4 /read/1
before=$(arrived "$UPC4")
burst /read/4
echo "requests of u4 since: $(($(arrived "$UPC4") - before))"

echo "-- gateway 1 is frozen for a while"
kill -STOP "${PIDS[gateway-1]}"
sleep 2
kill -CONT "${PIDS[gateway-1]}"
wait_until status_is 200 1 /read/5
before=$(($(arrived "$UPC3") + $(arrived "$UPC4")))
burst /read/6
echo "requests of u3 and u4 since: $(($(arrived "$UPC3") + $(arrived "$UPC4") - before))"
control "$STORE_CONTROL" '{"refuse":0}'

echo "-- gateway 1 starts again and learns it from the first answer"
stop gateway-1 KILL
start_gateway 1
for _ in $(seq 20); do wait_until status_is 200 1 /read/7; done
before=$(($(arrived "$UPC3") + $(arrived "$UPC4")))
burst /read/8
echo "requests of u3 and u4 since: $(($(arrived "$UPC3") + $(arrived "$UPC4") - before))"

echo "-- a new process at the same address is used"
control "$UPC3" '{"leaving":""}'
put_row servers u3 "$(upstream_row plain "$UP3" ready | sed 's/"born":1786217000000/"born":1786217009000/')"
before=$(arrived "$UPC3")
for i in 1 2; do wait_until grep -q '"msg":"upstream u3: plain at .* row' "$WORK/gateway-$i.log"; done
used() { status_of 1 /read/9 >/dev/null; status_of 2 /read/9 >/dev/null; [ "$(arrived "$UPC3")" -gt "$before" ]; }
wait_until used && echo "used"

echo "-- strange values are no departure"
control "$UPC5" '{"leaving":"0"}'
control "$UPC3" '{"leaving":"yes, soon"}'
before=$(($(arrived "$UPC5") + $(arrived "$UPC3")))
burst /read/10
echo "requests of u3 and u5 since: $(($(arrived "$UPC5") + $(arrived "$UPC3") - before))"
finish "$(dirname "$0")/leaving.expected"
