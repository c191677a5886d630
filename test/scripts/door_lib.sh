# Helpers for the scripts door*.sh: crowds of callers that misbehave at every path of a gateway with
# lowered limits. They check that the process lives, that its memory and descriptors stay within
# bounds, and that an ordinary request is answered afterwards.
# shellcheck shell=bash
# Memory is that of the ordinary build, since sanitizers change it.
BIN=${DOOR_BIN:-$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/build/bin}
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "${BASH_SOURCE[0]}")/gateway_lib.sh"

MEMORY_MB=48        # limit of the gateway, and the bound of its peak
MAX_DESCRIPTORS=400 # limit of the gateway, of which 200 are reserved for files
# Sizes of crowds, used by the scripts.
# shellcheck disable=SC2034
CALLERS=40
# shellcheck disable=SC2034
MANY_CALLERS=150 # more than the gateway has descriptors for

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1
is_ready() { [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://$READY1/-/ready")" = 200 ]; }
is_served() {
	[ "$(curl -s -m 20 -o /dev/null -w '%{http_code} %{size_download}' -H "host: h.example" \
		-H "x-attempt-id: one-$RANDOM" -H "x-time-remaining: 3000" "http://$FRONT1/read/one")" = "200 1048576" ]
}
# peak_kb: prints the peak of the gateway's memory, nothing if the process has ended.
peak_kb() { awk '/VmHWM/ {print $2}' "/proc/${PIDS[gateway-1]}/status" 2>/dev/null; }

# crowd KIND CALLERS PLACE ADDRESS PATH: lets a crowd of this kind come to a fresh gateway.
crowd() {
	local seen peak
	start_gateway 1
	wait_port "$FRONT1" "$READY1"
	wait_until is_served
	wait_until is_ready
	seen=$(python3 "$ROOT/test/scripts/door_client.py" "$1" "$4" "$5" "$2" "${PIDS[gateway-1]}" "$MAX_DESCRIPTORS")
	peak=$(peak_kb)
	echo "$1 $3: peak ${peak:-none, it ended:} kB" >>"$WORK/notes"
	[ -n "$peak" ] || seen="ended, ${seen#* }"
	[ "${peak:-0}" -le $((MEMORY_MB * 1024)) ] && peak="within the limit" || peak="$((peak / 1024)) MB"
	echo "$1 $3: $seen, memory $peak"
	[ "${seen%%,*}" = lives ] || start_gateway 1
	wait_until is_served
	wait_until is_ready
	stop gateway-1 KILL
}

# crowds CALLERS KIND...: runs crowds of each kind at each path; the kind "one" is no crowd.
crowds() {
	local kind callers=$1
	shift
	for kind in "$@"; do
		if [ "$kind" = one ]; then
			one_requests
			continue
		fi
		crowd "$kind" "$callers" routed "$FRONT1" /read/1
		crowd "$kind" "$callers" unrouted "$FRONT1" /nowhere
		crowd "$kind" "$callers" ready "$READY1" /-/ready
	done
}

# one_request WHAT CURL-OPTION...: prints the status of one unusual request within the limits, in calm.
one_request() {
	start_gateway 1
	wait_until is_served
	echo "one request of $1: $(curl -s -m 20 -o /dev/null -w '%{http_code}' -H "host: h.example" -H "x-attempt-id: single" \
		-H "x-time-remaining: 3000" "${@:2}" "http://$FRONT1/read/one")"
	stop gateway-1 KILL
}

one_requests() {
	local fields
	mapfile -t fields < <(seq -f $'-H\nf%g:1' 1500)
	one_request "many fields" "${fields[@]}"
	head -c 1000000 /dev/zero >"$WORK/body"
	one_request "the largest body" -H expect: --data-binary "@$WORK/body"
}

# run_door EXPECTED CALLERS KIND...: the whole test.
run_door() {
	local port expected=$1
	shift
	begin
	coproc SERVER { exec python3 "$ROOT/test/scripts/door_client.py" server "$IP"; }
	read -r port <&"${SERVER[0]}"
	start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
	wait_port "$STORE" "$STORE_CONTROL"
	put_row op config "$(config_row 00000005 /order/)"
	put_row servers u1 "$(upstream_row plain "$IP:$port" ready | sed 's/"slots":2/"slots":60/')"
	write_settings 1
	echo "limits.memory-mb=$MEMORY_MB" >>"$WORK/gateway-1.conf"
	echo "limits.max-fds=$MAX_DESCRIPTORS" >>"$WORK/gateway-1.conf"
	crowds "$@"
	kill "$SERVER_PID"
	finish "$expected"
}
