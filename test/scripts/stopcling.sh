#!/bin/bash
# Clients keep coming to a gateway that stops, on kept and on new connections, until its process is
# gone. Guards against requests that the stop reads or passes on and leaves without an answer, and
# against refusals of requests that ran.
# mutants: forward_end_silently
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1 UP1 UPC1
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u1 standin-keyed --listen "$UP1" --control "$UPC1" --id u1 --ledger "$WORK/ledger"
wait_port "$STORE" "$STORE_CONTROL" "$UP1" "$UPC1"
put_row op config "$(config_row 00000005 /order/)"
put_row servers u1 "$(upstream_row plain "$UP1" ready | sed 's/"slots":2/"slots":32/')"
write_settings 1
start_gateway 1
wait_port "$FRONT1" "$READY1"
is_served() {
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -H "host: h.example" -H "x-attempt-id: warm-$RANDOM" \
		-H "x-time-remaining: 3000" "http://$FRONT1/read/warm")" = 200 ]
}
wait_until is_served
control "$UPC1" '{"work_ms":20}'
python3 "$(dirname "$0")/stopcling_client.py" "$FRONT1" "${PIDS[gateway-1]}" "$WORK/ledger" "$UPC1"
await_exit gateway-1
echo "exit code $?"
finish "$(dirname "$0")/stopcling.expected"
