#!/bin/bash
# Measures a deployment of router processes and stand-ins: latency added by a router, its
# throughput, the time until a configuration change is in force everywhere, cost without load, and
# unavailable time of a key after a failure. Bounds are those of docs/design.md. Exits with 1 if one is missed.
# Usage: bench/deploy.sh
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
ROUTERS=() # operator addresses of all routers

# shellcheck disable=SC2317 # called by the trap in run_all
finish() {
	local code=$?
	cluster_end_all 2>/dev/null
	rm -rf "$CLUSTER_DIR"
	exit "$code"
}

measure() { timeout 60 python3 bench/deploy_measure.py "$@"; }
# field NAME: prints the value of NAME in standard input, which is a line
# "NAME VALUE NAME VALUE..." or lines "NAME VALUE".
field() { awk -v name="$1" '{ for (i = 1; i < NF; i++) if ($i == name) print $(i + 1) }'; }
# calc EXPRESSION [DECIMALS]: prints its value.
calc() { awk "BEGIN { printf \"%.${2:-2}f\", $1 }"; }
load() { timeout 60 "$CLUSTER_BIN/bamboocroft-load" "$@"; }

# check_bound TEXT VALUE BOUND UNIT: prints whether VALUE is at most BOUND; counts missed bounds.
check_bound() {
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

# start_deployment ROUTERS-PER-REGION: starts a new deployment and applies its configuration.
start_deployment() {
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

# Prints the process ids of all routers.
router_pids() {
	local name
	for name in "${!CLUSTER_PID[@]}"; do
		[[ ! $name =~ ^(meseta|pacifico)-[0-9]+$ ]] || echo "${CLUSTER_PID[$name]}"
	done
}

# broker_of SERVICE: prints the id of the router that is the service's broker in meseta.
broker_of() {
	cluster_status meseta 1 | python3 -c "
import json, sys
print([s['broker'] for s in json.load(sys.stdin)['services'] if s['service'] == '$1'][0])"
}

# ---- added latency and throughput ----

measure_added_latency() {
	local c direct routed p d r
	echo "added latency of a router, upstream with 10 ms fixed service time, closed loop (ms)"
	printf '%-12s %-6s %9s %9s %9s %7s\n' concurrency value direct router added ratio
	for c in 1 4; do
		direct=$(load --entry "$(cluster_ip 13 1):9000" --path /fixed/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		routed=$(load --entry "$(cluster_callers meseta 1)" --path /fixed/x --concurrency "$c" --seconds "$LOAD_SECONDS" --idempotent)
		for p in p50_ms p99_ms; do
			d=$(field $p <<<"$direct")
			r=$(field $p <<<"$routed")
			printf '%-12s %-6s %9s %9s %9s %7s\n' "$c" "${p%_ms}" "$d" "$r" "$(calc "$r - $d" 3)" "$(calc "$r / $d")"
		done
		echo "  answered: direct $(field successes <<<"$direct") of $(field requests <<<"$direct"), router $(field successes <<<"$routed") of $(field requests <<<"$routed")"
	done
	echo "broker of the service: $(broker_of fixed), entry: meseta-1"
}

measure_throughput() {
	local c direct routed direct_rate router_rate broker before after n spent broker_spent ip
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
		direct_rate=$(calc "$(field successes <<<"$direct") * 1000 / $(field duration_ms <<<"$direct")" 0)
		router_rate=$(calc "$n * 1000 / $(field duration_ms <<<"$routed")" 0)
		spent=$(calc "(${after%% *} - ${before%% *}) * 1000 / $n" 1)
		broker_spent=$(calc "(${broker_after%% *} - ${broker_before%% *}) * 1000 / $n" 1)
		rss=$(calc "$(cut -d' ' -f2 <<<"$after") / 1024" 1)
		printf '%-12s %12s %12s %7s %14s %15s %10s\n' "$c" "$direct_rate" "$router_rate" "$(calc "$router_rate / $direct_rate")" "$spent" "$broker_spent" "$rss"
		echo "  answered: router $n of $(field requests <<<"$routed")"
	done
	echo "broker of the service: $broker, entry: meseta-1"
	check_bound "memory of the router after saturation" "$rss" $MEMORY_BOUND_MIB MiB
}

# ---- configuration and idle cost ----

measure_spread() {
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
	check_bound "$n routers: configuration in force everywhere, worst" "$worst" $CONFIG_BOUND_MS ms
}

measure_idle() {
	local n=${#ROUTERS[@]} line pids
	mapfile -t pids < <(router_pids)
	line=$(measure idle "$IDLE_SECONDS" "${pids[@]}")
	echo
	echo "$n routers idle for $IDLE_SECONDS s, per router and second (cpu in % of a core, bytes, MiB):"
	echo "  $line"
	check_bound "$n routers: processor time, busiest router" "$(field cpu_max <<<"$line")" $IDLE_CPU_BOUND %
	check_bound "$n routers: bytes sent, busiest router" "$(field sent_max <<<"$line")" $IDLE_BYTES_BOUND B/s
	check_bound "$n routers: bytes sent and received, busiest router" "$(field both_max <<<"$line")" $IDLE_BYTES_BOUND B/s
	check_bound "$n routers: memory, largest router" "$(field rss_max <<<"$line")" $MEMORY_BOUND_MIB MiB
}

# ---- unavailable time ----

# unavailable_after_kill PROCESS ENTRY KEY-PREFIX: sends requests for one key while the process is
# killed; prints the longest time without an answer, in ms.
unavailable_after_kill() {
	local pid
	load --entry "$2" --path /history/x --keys 1 --key-prefix "$3" --rate 100 --seconds 5 --idempotent --seed 5 \
		>"$CLUSTER_DIR/gap" &
	pid=$!
	sleep 1
	cluster_end "$1" KILL
	wait $pid
	field unavailable_ms <"$CLUSTER_DIR/gap"
}

# report_unavailable TEXT MS...: prints and checks the unavailable times after several failures.
report_unavailable() {
	local sorted
	mapfile -t sorted < <(printf '%s\n' "${@:2}" | sort -n)
	echo "  $1: ${*:2} ms; median ${sorted[$((${#sorted[@]} / 2))]} ms"
	check_bound "$1: unavailable time of the key, worst" "${sorted[-1]}" $KEY_BOUND_MS ms
}

measure_kills() {
	local i owner broker entry unavailable_ms_list=() number
	echo
	echo "unavailable time of a key under 100 requests/s (longest time between two answers)"
	for i in $(seq $KILLS); do
		owner=$(curl -s -m 5 -H "x-key: k$i-0" "http://$(cluster_callers meseta 1)/history/x" |
			python3 -c 'import json,sys; print(json.load(sys.stdin)["upstream"])')
		unavailable_after_kill "$owner" "$(cluster_callers meseta 1)" "k$i-" >"$CLUSTER_DIR/result"
		unavailable_ms_list+=("$(cat "$CLUSTER_DIR/result")")
		number=${owner##*-}
		cluster_start_upstream "$owner" "$(cut -d- -f2 <<<"$owner")" history 1 "$number" --checks-grants
		cluster_wait_ready "$1" || exit 1
	done
	report_unavailable "SIGKILL of the owner" "${unavailable_ms_list[@]}"
	unavailable_ms_list=()
	for i in $(seq $KILLS); do
		broker=$(broker_of history)
		entry=$(cluster_callers meseta 1)
		[ "$broker" != meseta-1 ] || entry=$(cluster_callers meseta 2)
		unavailable_after_kill "$broker" "$entry" "$(meseta_key "$entry")" >"$CLUSTER_DIR/result"
		unavailable_ms_list+=("$(cat "$CLUSTER_DIR/result")")
		cluster_start_router meseta "${broker##*-}"
		cluster_wait_ready "$1" || exit 1
	done
	report_unavailable "SIGKILL of the broker" "${unavailable_ms_list[@]}"
}

# meseta_key ENTRY: prints the prefix of a key that is served in meseta, where the broker is killed.
meseta_key() {
	local i
	for i in $(seq 50); do
		if curl -s -m 5 -H "x-key: m$i-0" "http://$1/history/x" | grep -q history-meseta; then
			echo "m$i-"
			return
		fi
	done
}

measure_domain_outage() {
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
	echo "  answered $(field successes <<<"$sum") of $(field requests <<<"$sum") ($(calc "100 * $(field successes <<<"$sum") / $(field requests <<<"$sum")") %), service interrupted for at most $(field unavailable_ms <<<"$sum") ms, keys with a failure $(field keys_with_failures <<<"$sum")"
	check_bound "failure domain: unavailable time of the worst key" "$(field worst_key_unavailable_ms <<<"$sum")" $KEY_BOUND_MS ms
}

run_all() {
	local per_region
	# The trap is set here, because the pipe below runs this function in a subshell.
	trap finish EXIT
	echo "bench/deploy.sh, $(date -u '+%Y-%m-%d %H:%M UTC'), commit $(git rev-parse --short HEAD), $(nproc) cores, load average $(cut -d' ' -f1 /proc/loadavg)"
	echo
	for per_region in 2 4 6; do
		start_deployment $per_region
		if [ $per_region -eq 6 ]; then
			measure_added_latency
			measure_throughput
		fi
		measure_idle
		measure_spread
		if [ $per_region -eq 6 ]; then
			measure_kills $per_region
			measure_domain_outage
		fi
		cluster_end_all
	done
	echo
	echo "bounds missed: $missed"
	[ $missed -eq 0 ]
}

mkdir -p bench/results
run_all 2>&1 | tee bench/results/deploy.txt
exit "${PIPESTATUS[0]}"
