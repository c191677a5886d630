#!/bin/bash
# Two gateways on a platform's stand-ins: routes, keys, repeats, refusals, a change of the
# configuration, an outage of the store, a lost keeper, a planned stop.
# Guards against a request that runs twice, a false "not run", a configuration that reverts, and
# keys that stay without an owner when the gateway that gives them is lost.
# mutants: forward_repeat_once forward_false_not_run gateway_revert_config gateway_trust_maps forward_cut_waiting gateway_trust_silence forward_trust_address
. "$(dirname "$0")/lib.sh"
begin

new_address STORE STORE_CONTROL STORE_SECOND
for i in 1 2 3 4; do new_address "UP$i" "UPC$i"; done
for i in 1 2; do new_address "FRONT$i" "READY$i" "PEER$i" "METRICS$i"; done

put() { # TABLE KEY VALUE
	curl -s -m 20 -o /dev/null --data-binary "$3" "$STORE_CONTROL/put?table=$1&key=$2" || fail "put $2"
}

registration() { # SERVICE ADDRESS STATE
	echo "{\"service\":\"$1\",\"address\":\"$2\",\"zone\":\"d1\",\"version\":\"v1\",\"slots\":2,\"state\":\"$3\",\"warmup-left\":\"0ms\",\"sequence\":1,\"born\":1786217000000}"
}

config() { # VERSION PREFIX
	cat <<END
{"version":"$1","services":[
{"name":"keys","health-path":"/health","max-connections":100,"shard-enabled":true},
{"name":"plain","health-path":"/health","max-connections":100}],
"limits":{"max-header-bytes":16384,"max-body-bytes":1000000,"header-timeout":"3000ms","idle-timeout":"15000ms"},
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"look","prefix":"/look/","kind":"safe","timeout":"3000ms","target-latency":"2000ms","priority":1,"service":"keys","max-attempts":2,"allowed-regions":[]},
{"name":"read","prefix":"/read/","kind":"safe","timeout":"3000ms","target-latency":"2000ms","priority":1,"service":"plain","max-attempts":2,"allowed-regions":[]},
{"name":"order","prefix":"$2","kind":"unsafe","timeout":"3000ms","target-latency":"2000ms","priority":1,"service":"plain","max-attempts":2,"allowed-regions":["r1"]}]}]}
END
}

settings() { # NUMBER
	local front=FRONT$1 ready=READY$1 peer=PEER$1 store=$STORE
	[ "$1" = 1 ] || store=$STORE_SECOND
	cat >"$WORK/gateway-$1.conf" <<END
node-name=gateway-$1
ip=$IP
zone=d1
region=r1
zones.d1=r1
zones.d2=r2
listen.front=${!front}
listen.ready=${!ready}
internal-ports=${!peer#*:},65000
heartbeat=500ms
bounds=drain=2000ms,grace=6s,retry-budget-ratio=0.2,retry-budget-slack=60,hold-max=10000ms
platform.address=$store
END
}

gateway() { # NUMBER
	local metrics=METRICS$1
	start "gateway-$1" bamboocroft-gateway --settings "$WORK/gateway-$1.conf" --metrics-port "${!metrics#*:}"
}

next_id=0
# ask GATEWAY METHOD PATH [CURL-ARGUMENT...]: status and body of one request
ask() {
	local front=FRONT$1 method=$2 path=$3
	shift 3
	next_id=$((next_id + 1))
	curl -s -m 20 -X "$method" -H "host: h.example" -H "x-attempt-id: id-$next_id-$$" \
		-H "x-time-remaining: 3000" -w '%{http_code}' "$@" "http://${!front}$path" |
		sed 's/u[0-9] ran/an upstream ran/' | tr '\n' ' ' | sed 's/{.*}/(refusal)/'
	echo
}
status() { ask "$@" | grep -o '[0-9]*$'; }
answers() { [ "$(status "${@:2}")" = "$1" ]; }
is_ready() {
	local ready=READY$1
	[ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' "http://${!ready}/-/ready")" = 200 ]
}
count() { # KEY: sum over the plain upstreams
	local i sum=0 n
	for i in 3 4; do
		n=UPC$i
		sum=$((sum + $(curl -s -m 20 "${!n}/counts" | python3 -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1")))
	done
	echo "$sum"
}
plain_switch() {
	control "$UPC3" "$1"
	control "$UPC4" "$1"
}

start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u1 standin-keyed --listen "$UP1" --control "$UPC1" --id u1 --keyed
start u2 standin-keyed --listen "$UP2" --control "$UPC2" --id u2 --keyed
start u3 standin-keyed --listen "$UP3" --control "$UPC3" --id u3
start u4 standin-keyed --listen "$UP4" --control "$UPC4" --id u4
wait_port "$STORE" "$STORE_CONTROL" "$UP1" "$UP2" "$UP3" "$UP4" "$UPC3" "$UPC4"
settings 1
settings 2
gateway 1
gateway 2
wait_port "$FRONT1" "$FRONT2" "$READY1"

echo "-- a second gateway at the same addresses ends with an error"
start twin bamboocroft-gateway --settings "$WORK/gateway-1.conf"
await_exit twin
echo "exit code $?"
grep -o 'not started: callers[^"]*in use\|not started: [^"]*port is free' "$WORK/twin.log" | sed 's/127[0-9.]*:[0-9]*/ADDRESS/'

echo "-- without a configuration"
is_ready 1 || echo "not ready"
ask 1 GET /read/1
put op config "$(config 00000005 /order/)"
put servers u1 "$(registration keys "$UP1" ready)"
put servers u2 "$(registration keys "$UP2" ready)"
put servers u3 "$(registration plain "$UP3" ready)"
put servers u4 "$(registration plain "$UP4" ready)"
put servers forged '{"service":"plain","address":7}'
wait_until is_ready 1
wait_until is_ready 2

echo "-- routes"
wait_until answers 200 1 GET /read/1
ask 1 GET /read/1
ask 2 POST /order/1 --data-binary "one last"
ask 1 GET /nowhere/1
echo "-- keys have owners, at both gateways"
wait_until answers 200 1 GET /look/1 -H "x-shard-key: 5"
for key in 5 30000 65535; do ask 2 GET /look/1 -H "x-shard-key: $key"; done
ask 1 GET /look/1
ask 1 GET /look/1 -H "x-shard-key: 65536"

echo "-- an upstream whose address another one has now is left alone"
misplaced=$(count misplaced)
put servers u5 "$(registration plain "$UP3" ready)"
wait_until grep -q 'upstream u5: plain' "$WORK/gateway-1.log"
# An address that always seems free draws a third of these at least.
curl -s -m 60 -o /dev/null -w '%{http_code}\n' -H "host: h.example" -H "x-attempt-id: id-many-$$" \
	-H "x-time-remaining: 3000" "http://$FRONT1/read/[1-90]" | sort | uniq -c | sed 's/^ *//'
# Asked at first and after each pause, which doubles up to 2 s: 8 times in 7 s.
asked=$(($(count misplaced) - misplaced))
[ "$asked" -le 12 ] || echo "it was asked $asked times"
curl -s -m 20 -o /dev/null "$STORE_CONTROL/drop?table=servers&key=u5" -d ''
wait_until grep -q 'upstream u5 is no longer' "$WORK/gateway-1.log"

echo "-- an order whose answer is lost is not sent again"
runs=$(count runs)
plain_switch '{"drop_answers":1}'
ask 1 POST /order/2 --data-binary x
plain_switch '{"drop_answers":0}'
echo "ran: $(($(count runs) - runs))"
echo "-- an idempotent request is"
control "$UPC3" '{"drop_answers":1}'
ask 1 GET /read/2
ask 1 GET /read/2
control "$UPC3" '{"drop_answers":0}'
echo "-- a refusal that says not run goes to another upstream"
runs=$(count runs)
control "$UPC3" '{"shed":1}'
ask 1 POST /order/3 --data-binary x
ask 1 POST /order/3 --data-binary x
echo "ran: $(($(count runs) - runs))"
echo "-- and when nobody runs it the caller is told so"
plain_switch '{"shed":2}'
runs=$(count runs)
ask 1 POST /order/3 --data-binary x
plain_switch '{"shed":0}'
echo "ran: $(($(count runs) - runs))"
echo "-- an answer without a signature is not a success"
plain_switch '{"unsigned":1}'
ask 1 POST /order/4 --data-binary x
plain_switch '{"unsigned":0}'

echo "-- a new configuration is in force at both, an older one stays unused"
put op config "$(config 00000006 /newer/)"
wait_until answers 200 1 POST /newer/1 --data-binary x
wait_until answers 200 2 POST /newer/1 --data-binary x
put op config "$(config 00000004 /order/)"
put servers u3 "$(registration plain "$UP3" draining)"
sleep 1
ask 1 POST /newer/1 --data-binary x
ask 1 POST /order/1 --data-binary x
echo "-- a request that may have run is not said not to have run"
control "$UPC4" '{"drop_answers":1}'
ask 1 GET /read/6
control "$UPC4" '{"drop_answers":0}'
put servers u3 "$(registration plain "$UP3" ready)"

echo "-- the store refuses every call"
control "$STORE_CONTROL" '{"refuse":503}'
sleep 1
ask 1 GET /read/3
ask 2 GET /look/3 -H "x-shard-key: 5"
control "$STORE_CONTROL" '{"refuse":0}'
echo "-- answers of its writes are lost, and its history is gone"
control "$STORE_CONTROL" '{"lose_answers":1,"trim":true}'
put op config "$(config 00000007 /third/)"
wait_until answers 200 1 POST /third/1 --data-binary x

echo "-- a gateway that starts without the store gets the owners after the configuration"
keeper=2
grep -q '"module":"keeper","msg":"keeper of keys' "$WORK/gateway-1.log" && keeper=1
other=$((3 - keeper))
control "$STORE_CONTROL" '{"refuse":503}'
kill -KILL "${PIDS[gateway-$other]}"
await_exit "gateway-$other"
gateway "$other"
peer_is_up() { [ "$(grep -c '"module":"peer","msg":"peer gateway-'$other' at' "$WORK/gateway-$keeper.log")" -ge 3 ]; }
wait_until peer_is_up
control "$STORE_CONTROL" '{"refuse":0}'
wait_until is_ready "$other"
wait_until answers 200 "$other" GET /look/4 -H "x-shard-key: 5"
ask "$other" GET /look/4 -H "x-shard-key: 60000"

echo "-- the store is silent to the keeper alone"
# Logs are written every 100 ms. The line of a request that the keeper answers now follows its lines about
# refused calls; without them here, the count would rise later by itself.
ask "$keeper" GET /look/4 -H "x-shard-key: 5" >/dev/null
answer_is_logged() { grep -q "\"id-$next_id-$$\"" "$WORK/gateway-$keeper.log"; }
wait_until answer_is_logged
reaches_store() { [ "$(grep -o 'dependency store [a-z]*' "$WORK/gateway-$keeper.log" | tail -n 1)" = "dependency store regained" ]; }
wait_until reaches_store
lost_before=$(grep -c 'dependency store lost' "$WORK/gateway-$keeper.log")
control "$STORE_CONTROL" "{\"hang_door\":$keeper}"
took_over() { grep -q 'taking over the keys of keys: the keeper is cut off' "$WORK/gateway-$other.log"; }
wait_until took_over
[ "$(grep -c 'dependency store lost' "$WORK/gateway-$keeper.log")" = "$lost_before" ] || echo "noticed only when its calls ended"
wait_until answers 200 "$other" GET /look/4 -H "x-shard-key: 5"
control "$STORE_CONTROL" '{"hang_door":0}'
keeper=$other
other=$((3 - keeper))

echo "-- the keeper is killed, the other gateway takes over"
kill -KILL "${PIDS[gateway-$keeper]}"
await_exit "gateway-$keeper"
wait_until answers 200 $other GET /look/4 -H "x-shard-key: 5"
wait_until answers 200 $other GET /look/4 -H "x-shard-key: 60000"
ask $other GET /look/4 -H "x-shard-key: 30000"

echo "-- a planned stop answers what is under way"
plain_switch '{"work_ms":1500}'
ask $other GET /read/5 >"$WORK/last" &
last=$!
sleep 0.5
kill -TERM "${PIDS[gateway-$other]}"
wait_until eval "! is_ready $other"
wait $last
cat "$WORK/last"
await_exit "gateway-$other"
echo "exit code $?"

echo "-- a stop whose time is over refuses what still waits"
sed -i 's/grace=6s/grace=1500ms/' "$WORK/gateway-$keeper.conf"
gateway "$keeper"
wait_until is_ready "$keeper"
plain_switch '{"work_ms":5}'
wait_until answers 200 "$keeper" GET /read/6
plain_switch '{"work_ms":8000}'
busy=()
for i in 1 2 3 4; do
	ask "$keeper" GET "/read/1$i" >/dev/null &
	busy+=($!)
done
all_work() { [ "$(count running)" = 4 ]; }
wait_until all_work
ask "$keeper" GET /read/7 >"$WORK/last" &
last=$!
sleep 0.3
kill -TERM "${PIDS[gateway-$keeper]}"
wait "$last" "${busy[@]}"
cat "$WORK/last"
await_exit "gateway-$keeper"
finish "$(dirname "$0")/gateway.expected"
