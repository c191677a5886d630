#!/bin/bash
# Upstreams of a keyed service answer grants, releases and checks without end, while operators
# evacuate their failure domain, so that all their keys are released at once. Guards against a shard
# manager whose memory these answers exhaust, and against keys that stay without an owner.
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
# Freed memory is given back at once, so that the peak of the process is that of the answers.
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=1}:quarantine_size_mb=1"
begin

MEMORY_MB=160
# All answers together may take a third of the memory limit; an eighth of that is what the sanitizers
# add.
SHARE_MB=$((MEMORY_MB / 3 * 9 / 8))
BAD="keyed-bad1 keyed-bad2 keyed-bad3 keyed-bad4 keyed-bad5 keyed-bad6"
SOUND="keyed-1 keyed-2"
# Longest time until a release is given up, with reserve for a slow machine.
RELEASES_S=4

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1
declare -A PORT=()

# shellcheck disable=SC2086  # one word per mode is intended
coproc SERVER { exec python3 "$ROOT/test/scripts/endless_server.py" "$IP" $BAD $SOUND; }
for mode in $BAD $SOUND; do
	read -r name port <&"${SERVER[0]}"
	PORT[$name]=$port
done
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
write_settings 1
echo "limits.memory-mb=$MEMORY_MB" >>"$WORK/gateway-1.conf"
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(config_row 00000005 /order/)"
for mode in $BAD; do
	put_row servers "u-$mode" "$(upstream_row keys "$IP:${PORT[$mode]}" ready d1)"
done
for mode in $SOUND; do
	put_row servers "u-$mode" "$(upstream_row keys "$IP:${PORT[$mode]}" ready d2)"
done

# look KEY: prints the status of a request for the key.
look() {
	curl -s -m 20 -o /dev/null -H "host: h.example" -H "x-attempt-id: look-$1-$RANDOM" -H "x-shard-key: $1" \
		-w '%{http_code}' "http://$FRONT1/look/$1"
}
all_served() {
	local key
	for key in 0 8000 16000 24000 32000 40000 48000 56000 65535; do
		[ "$(look $key)" = 200 ] || return 1
	done
}
peak_mb() { awk '/VmHWM/ {print int($2 / 1024)}' "/proc/${PIDS[gateway-1]}/status"; }

wait_until all_served
echo "-- all keys are served"
echo 5 >"/proc/${PIDS[gateway-1]}/clear_refs"
before=$(peak_mb)
echo endless >&"${SERVER[1]}"
put_row op evacuate/d1 '{}'
sleep $RELEASES_S
growth=$(($(peak_mb) - before))
[ $growth -le $SHARE_MB ] || echo "memory grew by $growth MB, more than $SHARE_MB"
wait_until all_served
echo "-- all keys are served by others"
finish "$(dirname "$0")/endlesskeys.expected"
