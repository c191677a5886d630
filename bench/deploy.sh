#!/bin/bash
# Measures a deployment of real processes: added latency and throughput of a router, spread of a
# configuration change, idle cost, unavailable time of a key. Bounds are those of docs/design.md.
# Exits non-zero if one is missed. Usage: bench/deploy.sh
set -u
cd "$(dirname "$0")/.." || exit 1
CLUSTER_BIN=$PWD/build/bin
CLUSTER_NET=60
CLUSTER_DIR=$(mktemp -d)
# shellcheck source=tools/cluster.sh
. tools/cluster.sh
export CLUSTER_CREDENTIAL

# Bounds of docs/design.md: P11 (1.1), unavailable time of a key (1.2), control per node (1.6).
CONFIG_BOUND_MS=6000
KEY_BOUND_MS=2000
IDLE_CPU_BOUND=1.5
IDLE_BYTES_BOUND=8192
MEMORY_BOUND_MIB=64

KILLS=5
IDLE_SECONDS=10
LOAD_SECONDS=5
missed=0
ROUTERS=() # operators' ports

# shellcheck disable=SC2317 # called by the trap in run
finish() {
	local code=$?
	cluster_end_all 2>/dev/null
	rm -rf "$CLUSTER_DIR"
	exit "$code"
}

measure() { timeout 60 python3 bench/deploy_measure.py "$@"; }
# field NAME, of a line "NAME VALUE NAME VALUE..." or lines "NAME VALUE"
field() { awk -v name="$1" '{ for (i = 1; i < NF; i++) if ($i == name) print $(i + 1) }'; }
math() { awk "BEGIN { printf \"%.${2:-2}f\", $1 }"; }
load() { timeout 60 "$CLUSTER_BIN/bamboocroft-load" "$@"; }

# verdict TEXT VALUE BOUND UNIT: compares a figure with a stated bound.
verdict() {
	local word=met
	if awk "BEGIN { exit !($2 > $3) }"; then
		word=MISSED
		missed=$((missed + 1))
	fi
	printf '%-58s %10s %-6s bound %8s  %s\n' "$1" "$2" "$4" "$3" "$word"
}

# Adds two services of meseta without grants: `fixed` (10 ms) and `fast` (0 ms, many slots).
add_services() {
	local ip
	ip=$(cluster_ip 13 1)
	sed -i -e "/^routes:/i\\  - {id: fixed, keyed: false, partitions: 1, regions: [meseta], timeout_ms: 2000, cold_step: 20}" \
		-e "/^routes:/i\\  - {id: fast, keyed: false, partitions: 1, regions: [meseta], timeout_ms: 2000, cold_step: 20}" \
		-e "/^accounts:/i\\  - {prefix: /fixed, service: fixed, idempotent: true}" \
		-e "/^accounts:/i\\  - {prefix: /fast, service: fast, idempotent: true}" "$CLUSTER_DIR/config.yaml"
	{
		echo "  - {id: fixed-1, service: fixed, failure_domain: meseta-a, address: \"$ip:9000\", slots: 8, cold_limit: 8, checks_grants: false}"
		echo "  - {id: fast-1, service: fast, failure_domain: meseta-a, address: \"$ip:9010\", slots: 64, cold_limit: 64, checks_grants: false}"
		echo "  - {id: fast-2, service: fast, failure_domain: meseta-a, address: \"$ip:9020\", slots: 64, cold_limit: 64, checks_grants: false}"
	} >>"$CLUSTER_DIR/config.yaml"
	cluster_start fixed-1 standin-upstream --listen "$ip:9000" --control "$ip:9001" --id fixed-1 \
		--service fixed --slots 8 --cold-limit 8 --service-ms 10 --fixed
	cluster_start fast-1 standin-upstream --listen "$ip:9010" --control "$ip:9011" --id fast-1 \
		--service fast --slots 64 --cold-limit 64 --service-ms 0 --fixed
	cluster_start fast-2 standin-upstream --listen "$ip:9020" --control "$ip:9021" --id fast-2 \
		--service fast --slots 64 --cold-limit 64 --service-ms 0 --fixed
	cluster_list fixed-1 upstream "$ip" 9000 live
	cluster_list fast-1 upstream "$ip" 9010 live
	cluster_list fast-2 upstream "$ip" 9020 live
}

# begin ROUTERS-PER-REGION: a new deployment with its configuration applied.
begin() {
	local region i
	rm -rf "${CLUSTER_DIR:?}"/*
	cluster_start_all "$1"
	add_services
	cluster_wait_for 60 cluster_apply && cluster_wait_ready "$1" || exit 1
	ROUTERS=()
	ENTRIES=()
	for region in meseta pacifico; do
		for i in $(seq "$1"); do
			ROUTERS+=("$(cluster_operators $region "$i")")
			ENTRIES+=(--entry "$(cluster_callers $region "$i")")
		done
	done
}

router_pids() {
	local name
	for name in "${!CLUSTER_PID[@]}"; do
		[[ ! $name =~ ^(meseta|pacifico)-[0-9]+$ ]] || echo "${CLUSTER_PID[$name]}"
	done
}

broker_of() {
	cluster_status meseta 1 | python3 -c "
import json, sys
print([s['broker'] for s in json.load(sys.stdin)['services'] if s['service'] == '$1'][0])"
}

# ---- added latency and throughput ----

added_latency() {
	local c direct routed p d r
	echo "added latency of a router, upstream with 10 ms fixed service time, closed loop (ms)"
	printf '%-12s %-6s %9s %9s %9s %7s\n' concurrency value direct router added ratio
	for c in 1 4; do
		direct=$(load --entry "$(cluster_ip 13 1):9000" --path /fixed/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		routed=$(load --entry "$(cluster_callers meseta 1)" --path /fixed/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		for p in p50_ms p99_ms; do
			d=$(field $p <<<"$direct")
			r=$(field $p <<<"$routed")
			printf '%-12s %-6s %9s %9s %9s %7s\n' "$c" "${p%_ms}" "$d" "$r" "$(math "$r - $d" 3)" "$(math "$r / $d")"
		done
		echo "  answered: direct $(field successes <<<"$direct") of $(field requests <<<"$direct"), router $(field successes <<<"$routed") of $(field requests <<<"$routed")"
	done
	echo "broker of the service: $(broker_of fixed), entry: meseta-1"
}

throughput() {
	local c direct routed dr rr broker before after n spent broker_spent ip
	ip=$(cluster_ip 13 1)
	broker=$(broker_of fast)
	echo
	echo "saturation of one router, 2 upstreams with 0 ms service time and 64 slots, closed loop"
	printf '%-12s %12s %12s %7s %14s %15s %10s\n' concurrency "direct 1/s" "router 1/s" ratio "entry us/req" "broker us/req" "RSS MiB"
	for c in 16 64; do
		direct=$(load --entry "$ip:9010" --entry "$ip:9020" --path /fast/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		before=$(measure proc "${CLUSTER_PID[meseta-1]}")
		broker_before=$(measure proc "${CLUSTER_PID[$broker]}")
		routed=$(load --entry "$(cluster_callers meseta 1)" --path /fast/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		after=$(measure proc "${CLUSTER_PID[meseta-1]}")
		broker_after=$(measure proc "${CLUSTER_PID[$broker]}")
		n=$(field successes <<<"$routed")
		dr=$(math "$(field successes <<<"$direct") * 1000 / $(field duration_ms <<<"$direct")" 0)
		rr=$(math "$n * 1000 / $(field duration_ms <<<"$routed")" 0)
		spent=$(math "(${after%% *} - ${before%% *}) * 1000 / $n" 1)
		broker_spent=$(math "(${broker_after%% *} - ${broker_before%% *}) * 1000 / $n" 1)
		rss=$(math "$(cut -d' ' -f2 <<<"$after") / 1024" 1)
		printf '%-12s %12s %12s %7s %14s %15s %10s\n' "$c" "$dr" "$rr" "$(math "$rr / $dr")" "$spent" "$broker_spent" "$rss"
		echo "  answered: router $n of $(field requests <<<"$routed")"
	done
	echo "broker of the service: $broker, entry: meseta-1"
	verdict "memory of the router after saturation" "$rss" $MEMORY_BOUND_MIB MiB
}

# ---- configuration and idle cost ----

spread() {
	local n=${#ROUTERS[@]} i line intent worst=0 ms
	echo
	echo "$n routers: confirm's answer until all report the version; link bytes by cause meanwhile"
	for i in 1 2 3 4; do
		intent="drain orders-pacifico-2"
		[ $((i % 2)) -eq 1 ] || intent="bring-in orders-pacifico-2"
		line=$(measure spread "$intent" "${ROUTERS[@]}") || {
			echo "the change '$intent' failed"
			missed=$((missed + 1))
			continue
		}
		echo "  $line"
		ms=$(field ms <<<"$line")
		[ "$ms" -le "$worst" ] || worst=$ms
		sleep 1
	done
	verdict "$n routers: configuration in force everywhere, worst" "$worst" $CONFIG_BOUND_MS ms
}

idle() {
	local n=${#ROUTERS[@]} line pids
	mapfile -t pids < <(router_pids)
	line=$(measure idle "$IDLE_SECONDS" "${pids[@]}")
	echo
	echo "$n routers idle for $IDLE_SECONDS s, per router and second (cpu in % of a core, bytes, MiB):"
	echo "  $line"
	verdict "$n routers: processor time, busiest router" "$(field cpu_max <<<"$line")" $IDLE_CPU_BOUND %
	verdict "$n routers: bytes sent, busiest router" "$(field sent_max <<<"$line")" $IDLE_BYTES_BOUND B/s
	verdict "$n routers: bytes sent and received, busiest router" "$(field both_max <<<"$line")" $IDLE_BYTES_BOUND B/s
	verdict "$n routers: memory, largest router" "$(field rss_max <<<"$line")" $MEMORY_BOUND_MIB MiB
}

# ---- unavailable time ----

# Load on one key while a process is killed; prints the longest time without an answer.
# Usage: gap_after_kill PROCESS ENTRY KEY-PREFIX
gap_after_kill() {
	local pid
	load --entry "$2" --path /history/x --keys 1 --key-prefix "$3" --rate 100 --seconds 5 --idempotent --seed 5 \
		>"$CLUSTER_DIR/gap" &
	pid=$!
	sleep 1
	cluster_end "$1" KILL
	wait $pid
	field unavailable_ms <"$CLUSTER_DIR/gap"
}

report_gaps() {
	local sorted
	mapfile -t sorted < <(printf '%s\n' "${@:2}" | sort -n)
	echo "  $1: ${*:2} ms; median ${sorted[$((${#sorted[@]} / 2))]} ms"
	verdict "$1: unavailable time of the key, worst" "${sorted[-1]}" $KEY_BOUND_MS ms
}

kills() {
	local i owner broker entry gaps=() number
	echo
	echo "unavailable time of a key under 100 requests/s (longest time between two answers)"
	for i in $(seq $KILLS); do
		owner=$(curl -s -m 5 -H "x-key: k$i-0" "http://$(cluster_callers meseta 1)/history/x" |
			python3 -c 'import json,sys; print(json.load(sys.stdin)["upstream"])')
		gap_after_kill "$owner" "$(cluster_callers meseta 1)" "k$i-" >"$CLUSTER_DIR/result"
		gaps+=("$(cat "$CLUSTER_DIR/result")")
		number=${owner##*-}
		cluster_start_upstream "$owner" "$(cut -d- -f2 <<<"$owner")" history 1 "$number" --checks-grants
		cluster_wait_ready "$1" || exit 1
	done
	report_gaps "SIGKILL of the owner" "${gaps[@]}"
	gaps=()
	for i in $(seq $KILLS); do
		broker=$(broker_of history)
		entry=$(cluster_callers meseta 1)
		[ "$broker" != meseta-1 ] || entry=$(cluster_callers meseta 2)
		gap_after_kill "$broker" "$entry" "$(meseta_key "$entry")" >"$CLUSTER_DIR/result"
		gaps+=("$(cat "$CLUSTER_DIR/result")")
		cluster_start_router meseta "${broker##*-}"
		cluster_wait_ready "$1" || exit 1
	done
	report_gaps "SIGKILL of the broker" "${gaps[@]}"
}

# Prefix of a key that meseta serves, whose broker is the one that is killed.
meseta_key() {
	local i
	for i in $(seq 50); do
		if curl -s -m 5 -H "x-key: m$i-0" "http://$1/history/x" | grep -q history-meseta; then
			echo "m$i-"
			return
		fi
	done
}

domain() {
	local pid sum
	echo
	echo "failure domain meseta-b taken out and brought back under 100 requests/s on 300 keys"
	load "${ENTRIES[@]}" --path /history/x --keys 300 --rate 100 --seconds 14 --idempotent --per-key --seed 6 \
		>"$CLUSTER_DIR/domain" &
	pid=$!
	sleep 3
	measure change "take-out meseta-b" "${ROUTERS[0]}" >/dev/null || missed=$((missed + 1))
	sleep 5
	measure change "bring-back meseta-b" "${ROUTERS[0]}" >/dev/null || missed=$((missed + 1))
	wait $pid
	sum=$(cat "$CLUSTER_DIR/domain")
	grep '^count' <<<"$sum" | sed 's/^/  /'
	echo "  answered $(field successes <<<"$sum") of $(field requests <<<"$sum") ($(math "100 * $(field successes <<<"$sum") / $(field requests <<<"$sum")") %), service interrupted for at most $(field unavailable_ms <<<"$sum") ms, keys with a failure $(field keys_with_failures <<<"$sum")"
	verdict "failure domain: unavailable time of the worst key" "$(field worst_key_unavailable_ms <<<"$sum")" $KEY_BOUND_MS ms
}

run() {
	local per_region
	# Here, because the pipe below runs this function in a process of its own.
	trap finish EXIT
	echo "bench/deploy.sh, $(date -u '+%Y-%m-%d %H:%M UTC'), commit $(git rev-parse --short HEAD), $(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg)"
	echo
	for per_region in 2 4 6; do
		begin $per_region
		if [ $per_region -eq 6 ]; then
			added_latency
			throughput
		fi
		idle
		spread
		if [ $per_region -eq 6 ]; then
			kills $per_region
			domain
		fi
		cluster_end_all
	done
	echo
	echo "bounds missed: $missed"
	[ $missed -eq 0 ]
}

mkdir -p bench/results
run 2>&1 | tee bench/results/deploy.txt
exit "${PIPESTATUS[0]}"
