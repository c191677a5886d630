#!/bin/bash
# Upstreams send answers without end, in a head or a body, while a healthy upstream sends large
# answers. Guards against a gateway whose memory one faulty upstream exhausts, against large answers
# of a healthy upstream that the faulty one's push out, and against taking endless answers again and
# again at full size.
# mutants: answers_unlimited
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
# Freed memory is given back at once, so that the peak of the process is that of the answers.
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=1}:quarantine_size_mb=1"
begin

MEMORY_MB=160
CALLERS=60
# All answers together may take a third of the memory limit. An eighth of that is what the sanitizers
# add; each caller has two connections and a request.
SHARE_MB=$((MEMORY_MB / 3 * 9 / 8 + CALLERS / 8))
# Whole answers of known length wait for their callers while others are read; a quarter of the memory
# limit is left to everything else.
MAX_GROWTH_MB=$((MEMORY_MB * 3 / 4))
MODES="chunked close length head drops large"

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1
declare -A PORT=()

# services: prints the configuration: for each mode a service, and a route with the mode as prefix.
services() {
	local mode list="" routes=""
	for mode in $MODES; do
		list="$list${list:+,}{\"name\":\"$mode\",\"health-path\":\"/health\",\"max-connections\":200,\"shard-enabled\":false}"
		routes="$routes${routes:+,}{\"name\":\"$mode\",\"prefix\":\"/$mode/\",\"kind\":\"safe\",\"timeout\":\"3000ms\",\"target-latency\":\"2000ms\",\"priority\":1,\"service\":\"$mode\",\"max-attempts\":2,\"allowed-regions\":[]}"
	done
	echo "{\"version\":\"00000005\",\"services\":[$list],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":1000000,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},\"virtual-hosts\":[{\"host\":\"h.example\",\"path-routes\":[$routes]}]}"
}

# call MODE NUMBER: prints the status and the length of the answer to one request.
call() {
	curl -s -m 20 -o /dev/null -H "host: h.example" -H "x-attempt-id: $1-$2-$RANDOM" -H "x-time-remaining: 3000" \
		-w '%{http_code} %{size_download}\n' "http://$FRONT1/$1/$2"
}

# peak_mb: prints the peak of the resident memory of the gateway since reset_peak.
peak_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${PIDS[gateway-1]}/status"; }
reset_peak() { echo 5 >"/proc/${PIDS[gateway-1]}/clear_refs"; }

# bytes_of MODE: prints the bytes that the mode's upstream has written so far.
bytes_of() {
	local line
	echo bytes >&"${SERVER[1]}"
	read -r line <&"${SERVER[0]}"
	echo "$line" | tr ' ' '\n' | sed -n "s/^$1=//p"
}

# calls_at_once MODE COUNT: makes the requests at the same time; prints answers that are neither whole
# nor a failure. The mode "length" sends the announced 30 MiB, a whole answer, before it goes on.
calls_at_once() {
	local pids=() n
	for n in $(seq "$2"); do
		call "$1" "$n" >"$WORK/answer-$1-$n" &
		pids+=($!)
	done
	wait "${pids[@]}"
	cat "$WORK/answer-$1-"* | grep -vE '^(502|503|504) |^200 31457280$' | sort | uniq -c
	rm -f "$WORK/answer-$1-"*
}

# shellcheck disable=SC2086  # one word per mode is intended
coproc SERVER { exec python3 "$ROOT/test/scripts/endless_server.py" "$IP" $MODES; }
for mode in $MODES; do
	read -r name port <&"${SERVER[0]}"
	PORT[$name]=$port
done
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
write_settings 1
echo "limits.memory-mb=$MEMORY_MB" >>"$WORK/gateway-1.conf"
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(services)"
for mode in $MODES; do
	put_row servers "u-$mode" "$(upstream_row "$mode" "$IP:${PORT[$mode]}" ready | sed "s/\"slots\":2/\"slots\":$CALLERS/")"
done
is_served() { [ "$(call large 0)" = "200 25165824" ]; }
wait_until is_served

for mode in chunked close length head drops; do
	echo "-- endless: $mode"
	reset_peak
	before=$(peak_mb)
	calls_at_once "$mode" $CALLERS
	growth=$(($(peak_mb) - before))
	max=$SHARE_MB
	[ "$mode" != length ] || max=$MAX_GROWTH_MB
	[ $growth -le $max ] || echo "memory grew by $growth MB, more than $max"
done
echo "-- a faulty upstream is not taken at full size again"
written=$(bytes_of chunked)
for n in $(seq 10); do call chunked "again-$n" >/dev/null; done
written=$((($(bytes_of chunked) - written) >> 20))
[ $written -le 60 ] || echo "took $written MB for 10 requests"
echo "-- large answers are whole beside endless ones"
calls_at_once close 20 >/dev/null &
endless_pid=$!
sleep 0.2
for n in 1 2 3; do call large "$n"; done
wait "$endless_pid"
finish "$(dirname "$0")/endless.expected"
