#!/bin/bash
# Upstreams answer uploads before they have read them, without a length, and reset or close the connection;
# others answer with a status code that HTTP does not have, or with interim answers in odd places. Guards
# against a part of an answer that passes for the whole, against refusing a whole answer that an orderly
# close ends, and against a status that no upstream may give.
# mutants: upconn_trust_end upconn_any_status
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

TRIES=4
ANSWER_BYTES=20000
UPLOAD_BYTES=6000000 # more than the gateway's kernel buffers
# NAME-FRAMING, see the server; "exact" also with a small request.
EARLY="part-close late-close exact-close part-length late-length part-chunked late-chunked unread-close
	cut-length cut-chunked reads-close slow-close keeps-length"
ODD="status-000 status-0 status-020 status-099 status-99 status-600 status-999 status-2000 status--20 status-100
	status-101 status-199 status-2x0 interim-before interim-many interim-alone interim-body interim-within interim-after"
SMALL="exact-small"

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1 FRONT2 READY2 PEER2 METRICS2

# services: prints the configuration: for each mode a service, and a route with the mode as prefix.
services() {
	local mode list="" routes=""
	for mode in $EARLY $ODD $SMALL; do
		list="$list${list:+,}{\"name\":\"$mode\",\"health-path\":\"/health\",\"max-connections\":200}"
		routes="$routes${routes:+,}{\"name\":\"$mode\",\"prefix\":\"/$mode/\",\"kind\":\"upload\",\"timeout\":\"8000ms\",\"target-latency\":\"2000ms\",\"priority\":1,\"service\":\"$mode\",\"max-attempts\":2,\"allowed-regions\":[\"r1\"]}"
	done
	echo "{\"version\":\"00000005\",\"services\":[$list],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":10000000,\"header-timeout\":\"3000ms\",\"idle-timeout\":\"15000ms\"},\"virtual-hosts\":[{\"host\":\"h.example\",\"path-routes\":[$routes]}]}"
}

# call GATEWAY MODE NAME FILE: sends an upload; prints the status, and of a success whether it is whole.
call() {
	local front=FRONT$1 body status code
	body=$(mktemp "$WORK/body-XXXXXX")
	status=$(curl -s -m 20 -o "$body" -w '%{http_code}' -H expect: -H "host: h.example" -H "x-attempt-id: $RANDOM$RANDOM-$BASHPID" \
		-H "x-time-remaining: 8000" --data-binary "@$4" "http://${!front}/$2/$3")
	code=$?
	if [ $code != 0 ]; then
		echo "$status, curl $code"
	elif [ "${status:0:1}" = 2 ]; then
		cmp -s "$body" "$WORK/answer" && echo "$status whole answer" || echo "$status $(stat -c %s "$body") bytes"
	else
		echo "$status"
	fi
	rm -f "$body"
}
is_served() { [ "$(call "$1" "$2" ok "$WORK/small")" = "200 whole answer" ]; }
# calls MODE FILE GATEWAY: after a failure an upstream is paused. What is refused as not run is sent again.
calls() {
	local n line
	for n in $(seq $TRIES); do
		line=503
		while [ "$line" = 503 ]; do
			wait_until is_served "$3" "$1"
			line=$(call "$3" "$1" "gateway-$3-$n" "$2")
		done
		echo "$line"
	done | sort | uniq -c | sed "s/^ */$1: /"
}
# at_once FILE GATEWAY MODE...: the modes run at the same time.
at_once() {
	local mode pids=() file=$1 gateway=$2
	shift 2
	for mode in "$@"; do
		calls "$mode" "$file" "$gateway" >"$WORK/calls-$mode" &
		pids+=($!)
	done
	wait "${pids[@]}"
	for mode in "$@"; do cat "$WORK/calls-$mode"; done
}

head -c $ANSWER_BYTES /dev/zero | tr '\0' a >"$WORK/answer"
head -c $UPLOAD_BYTES /dev/zero | tr '\0' u >"$WORK/upload"
echo -n u >"$WORK/small"
# shellcheck disable=SC2086  # one word per mode is intended
coproc SERVER { exec python3 "$ROOT/test/scripts/earlyanswer_server.py" "$IP" $EARLY $ODD $SMALL; }
declare -A PORT=()
for mode in $EARLY $ODD $SMALL; do
	read -r name port <&"${SERVER[0]}"
	PORT[$name]=$port
done
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
for n in 1 2; do
	write_settings $n
	sed -i 's,retry-budget-slack=60,retry-budget-slack=6000,' "$WORK/gateway-$n.conf"
	# The uploads run at the same time.
	echo "limits.memory-mb=1024" >>"$WORK/gateway-$n.conf"
done
sed -i 's/^zone=d1$/zone=d2/; s/^region=r1$/region=r2/' "$WORK/gateway-2.conf"
start_gateway 1
start_gateway 2
wait_port "$FRONT1" "$READY1" "$FRONT2" "$READY2"
put_row op config "$(services)"
for mode in $EARLY $ODD $SMALL; do
	put_row servers "u-$mode" "$(upstream_row "$mode" "$IP:${PORT[$mode]}" ready)"
done

# shellcheck disable=SC2086  # one word per mode is intended
{
	echo "-- answered during the upload"
	for modes in "${EARLY%%$'\n'*}" "${EARLY#*$'\n'}"; do at_once "$WORK/upload" 1 $modes; done
	echo "-- answered after a small request"
	at_once "$WORK/small" 1 $SMALL
	echo "-- unusual heads"
	at_once "$WORK/small" 1 $ODD
	echo "-- by a gateway of another region"
	at_once "$WORK/upload" 2 late-close reads-close
	at_once "$WORK/small" 2 status-000
}
echo counts >&"${SERVER[1]}"
read -r foreign twice <&"${SERVER[0]}"
echo "connections with other bytes in the place of an upload: $foreign"
echo "requests that came twice: $twice"
finish "$(dirname "$0")/earlyanswer.expected"
