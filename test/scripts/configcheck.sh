#!/bin/bash
# bamboocroft-ctl check: a configuration is checked before it is sent, compared with a file and with the
# store of a platform. Guards against a configuration that gateways would refuse or leave unused and that
# passes the check, against exit codes that a script could not rely on, and against a check that writes.
# mutants: topocheck_no_shadow topodiff_no_homes
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

new_address STORE STORE_CONTROL STORE_SECOND FRONT1 READY1 PEER1 METRICS1 NOBODY
write_settings 1
start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
wait_port "$STORE" "$STORE_CONTROL"
cd "$WORK" || fail "no work directory"
config_row 00000005 /order/ >now.json
sed 's/00000005/00000006/' now.json >same.json
sed 's/00000005/00000004/' now.json >older.json
# Attempts, home regions, a moved route, a new one, a changed service.
sed 's/00000005/00000006/; s/"timeout":"3000ms","target-latency":"2000ms","priority":1,"service":"keys","max-attempts":2/"timeout":"1000ms","target-latency":"900ms","priority":0,"service":"keys","max-attempts":3/
	s/"allowed-regions":\["r1"\]/"allowed-regions":["r2"]/; s,"/read/","/lesen/",; s/"max-connections":100}/"max-connections":80}/
	s/"path-routes":\[/&{"name":"new","prefix":"\/look\/new\/","kind":"safe","timeout":"3000ms","target-latency":"2000ms","service":"plain"},/' now.json >new.json
# A prefix twice, a region that does not exist, a target over the timeout, a cold rate of 0.
sed 's/00000005/00000006/; s,"/read/","/look/",; s/\["r1"\]/["r1","r7"]/; s/"timeout":"3000ms","target-latency":"2000ms","priority":1,"service":"keys"/"timeout":"1500ms","target-latency":"2000ms","service":"keys"/
	s/"max-connections":100}/"max-connections":100,"warmup":"3s"}/' now.json >odd.json
sed 's/"service":"keys"/"service":"none"/' now.json >bad.json
echo '{"version":' >cut.json

# run ARGUMENT...: prints the command with its output and exit code.
run() {
	echo "\$ check $*"
	"$BIN/bamboocroft-ctl" check "$@" 2>&1 | sed "s/$STORE/STORE/g; s/$NOBODY/NOBODY/g; s/127\.[0-9.:]*/ADDRESS/g"
	echo "exit code ${PIPESTATUS[0]}"
	echo
}

run same.json
sed 's/"max-attempts"/"max-attempt"/' same.json >typo.json
run typo.json
run same.json --in-force now.json
run older.json --in-force now.json
run new.json --in-force now.json
run odd.json
run odd.json --settings gateway-1.conf
run odd.json --settings gateway-1.conf --in-force now.json --json
run bad.json
run bad.json --json
run cut.json
echo "-- what cannot be read"
run
run none.json
run new.json --in-force none.json
run new.json --in-force cut.json
run new.json --settings now.json
run new.json --store
echo "-- the store"
run new.json --settings gateway-1.conf --store
put_row op config "$(cat now.json)"
put_row servers u1 "$(upstream_row keys "$IP:9001" ready)"
put_row servers u2 "$(upstream_row keys "$IP:9002" ready d2)"
put_row servers u3 "$(upstream_row plain "$IP:9003" ready)"
put_row servers u4 "$(upstream_row plain "$IP:9004" draining d2)"
put_row servers u5 "no registration"
version() { curl -s -m 20 "$STORE_CONTROL/counts" | python3 -c 'import json, sys; print(json.load(sys.stdin)["version"])'; }
before=$(version)
run same.json --settings gateway-1.conf --store
run new.json --settings gateway-1.conf --store
echo "versions written by the checks: $(($(version) - before))"
sed "s/$STORE/$NOBODY/" gateway-1.conf >away.conf
run new.json --settings away.conf --store
# A gateway refuses what the check refuses, with the same text.
start_gateway 1
wait_port "$FRONT1" "$READY1"
put_row op config "$(cat bad.json)"
is_refused() { grep -q 'stays unused' "$WORK/gateway-1.log"; }
wait_until is_refused
grep -o 'stays unused: [^"]*\\"[^"]*\\"[^"]*' gateway-1.log | head -n 1
finish "$ROOT/test/scripts/configcheck.expected"
