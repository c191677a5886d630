#!/bin/bash
# The owner of all keys takes two requests a second from all gateways together, which get sixty. The
# gateway that decides, and later the one that follows it, are killed and start again. Guards against
# an upstream that gets a multiple of the limit that it names.
# mutants: admit_ignore_limit
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

SECONDS_OF_LOAD=12
new_address STORE STORE_CONTROL STORE_SECOND UP1 UPC1
for i in 1 2 3; do new_address "FRONT$i" "READY$i" "PEER$i" "METRICS$i"; done
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u1 standin-keyed --listen "$UP1" --control "$UPC1" --id u1 --keyed --ledger "$WORK/u1.ledger"
wait_port "$STORE" "$STORE_CONTROL" "$UP1" "$UPC1"
put_row op config "$(config_row 00000005 /order/)"
put_row servers u1 "$(upstream_row keys "$UP1" ready)"
for i in 1 2 3; do
	write_settings "$i"
	start_gateway "$i"
done
# status_of N ID: prints the status of a request through gateway N.
status_of() {
	local front=FRONT$1
	curl -s -m 5 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-$2-$$" \
		-H "x-time-remaining: 1000" -H "x-shard-key: 5" "http://${!front}/look/$2"
}
status_is() { [ "$(status_of "$2" "warm-$RANDOM$RANDOM")" = "$1" ]; }
for i in 1 2 3; do wait_until status_is 200 "$i"; done

control "$UPC1" '{"limit":"2.0","work_ms":100}'
for i in 1 2 3; do status_of "$i" "told-$i" >/dev/null; done
load() { # N
	local n end=$((SECONDS + SECONDS_OF_LOAD))
	for ((n = 0; SECONDS < end; n++)); do
		status_of "$1" "$1-$n" &
		sleep 0.05
	done
	wait
}
for i in 1 2 3; do load "$i" >"$WORK/statuses-$i" & done
sleep 4
for i in 1 2; do
	stop "gateway-$i" KILL
	start_gateway "$i"
	sleep 2
done
for job in $(jobs -p); do
	case " ${PIDS[*]} " in *" $job "*) ;; *) wait "$job" ;; esac
done
python3 - "$WORK/u1.ledger" <<'END'
import sys

SPAN_MS, LIMIT, FACTOR, MORE = 4000, 2.0, 1.5, 5
runs = [int(line.split()[1]) for line in open(sys.argv[1]) if line.startswith("run ") and "told" not in line and "warm" not in line]
most = max(sum(1 for t in runs if first <= t < first + SPAN_MS) for first in runs)
allowed = LIMIT * FACTOR * SPAN_MS / 1000 + MORE
print("in any 4 s:", "within the limit" if most <= allowed else f"{most} requests, allowed {allowed:.0f}")
print("served:", "yes" if len(runs) >= 10 else f"only {len(runs)}")
END
# Every other caller is refused as not run or, while a gateway is away, finds no connection.
cat "$WORK"/statuses-* | grep -vE '^(200|503|000)$' | sort | uniq -c
finish "$(dirname "$0")/limits.expected"
