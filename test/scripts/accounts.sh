#!/bin/bash
# Two gateways with client accounts: which credentials are let in, what the upstream sees of them,
# and how a credential that is withdrawn ends, also for a request that waits and on a kept
# connection. Guards against a request that runs without a right, for another account, or with its
# credential in it, and against a credential in a log.
# mutants: forward_pass_credential forward_pass_account forward_keep_withdrawn account_all_exempt account_first_credential
# shellcheck source=test/scripts/gateway_lib.sh
. "$(dirname "$0")/gateway_lib.sh"
begin

new_address STORE STORE_CONTROL STORE_SECOND UP1 UPC1
for i in 1 2; do new_address "FRONT$i" "READY$i" "PEER$i" "METRICS$i"; done

# config VERSION ACCOUNTS: prints a configuration; ACCOUNTS is empty or `"tenants":[...],`.
config() {
	cat <<END
{"version":"$1",$2"services":[{"name":"plain","health-path":"/health","max-connections":100}],
"virtual-hosts":[{"host":"h.example","path-routes":[
{"name":"read","prefix":"/read/","kind":"safe","timeout":"4000ms","target-latency":"3000ms","service":"plain"},
{"name":"open","prefix":"/open/","kind":"safe","timeout":"4000ms","target-latency":"3000ms","service":"plain","auth-exempt":true}]}]}
END
}

next_id=0
# ask N PATH [CURL-ARGUMENT...]: sends a request through gateway N; prints the status and what the
# upstream saw of the account.
ask() {
	local front=FRONT$1 path=$2
	shift 2
	next_id=$((next_id + 1))
	curl -s -m 20 -i -H "host: h.example" -H "x-attempt-id: id-$next_id-$$-$RANDOM" \
		-H "x-time-remaining: 4000" "$@" "http://${!front}$path" | tr -d '\r' |
		sed -n 's/^HTTP[^ ]* \([0-9]*\).*/\1/p; s/^x-seen: //p; s/^{"error".*//p' | tr '\n' ' ' | sed 's/ *$//'
	echo
}
status_is() { [ "$(ask "${@:2}" | cut -c1-3)" = "$1" ]; }

start store standin-rowstore --listen "$STORE" --control "$STORE_CONTROL" --second "$STORE_SECOND"
start u1 standin-keyed --listen "$UP1" --control "$UPC1" --id u1
wait_port "$STORE" "$STORE_CONTROL" "$UP1" "$UPC1"
for i in 1 2; do
	write_settings $i
	start_gateway $i
done
wait_port "$FRONT1" "$FRONT2"

echo "-- no configuration"
ask 1 /read/1 -H "x-credential: secret-one"
put_row servers u1 "$(upstream_row plain "$UP1" ready)"
put_row op config "$(config 00000002 "")"
for i in 1 2; do wait_until status_is 200 $i /read/1; done
echo "-- a configuration without accounts leaves headers as they are"
ask 1 /read/1
ask 1 /read/1 -H "x-credential: secret-one" -H "X-Tenant-Name: any"

put_row op config "$(config 00000003 '"tenants":[{"name":"one","api-keys":["secret-one","secret-two"]},{"name":"two","api-keys":["secret-three"]}],')"
for i in 1 2; do wait_until status_is 401 $i /read/1; done
for i in 1 2; do
	echo "-- gateway $i: known credentials"
	ask $i /read/1 -H "x-credential: secret-one"
	ask $i /read/1 -H "X-CREDENTIAL: secret-two"
	ask $i /read/1 -H "x-credential: secret-three" -H "x-tenant-name: one"
	ask $i /read/1 -H "x-credential: secret-three" -H "X-Tenant-NAME: one" -H "x-tenant-name;"
	echo "-- gateway $i: none, empty, unknown, twice, in another case"
	ask $i /read/1
	ask $i /read/1 -H "x-tenant-name: one"
	ask $i /read/1 -H "x-credential;"
	ask $i /read/1 -H "x-credential: secret-four"
	ask $i /read/1 -H "x-credential: secret-one" -H "X-Credential: secret-one"
	ask $i /read/1 -H "x-credential: secret-one" -H "x-credential: secret-three"
	ask $i /read/1 -H "x-credential: SECRET-ONE"
	echo "-- gateway $i: no route, and an open one"
	ask $i /nowhere/1
	ask $i /open/1
	ask $i /open/1 -H "x-credential: secret-four" -H "x-tenant-name: two"
	ask $i /open/1 -H "x-credential: secret-one"
done

echo "-- a configuration with a credential in two accounts stays unused"
put_row op config "$(config 00000004 '"tenants":[{"name":"one","api-keys":["secret-one"]},{"name":"two","api-keys":["secret-one"]}],')"
wait_until grep -q 'accounts one and two have a credential in common' "$WORK/gateway-1.log"
ask 1 /read/1 -H "x-credential: secret-two"

echo "-- withdrawn on a kept connection"
python3 - "$FRONT1" $$ "$WORK/go" >"$WORK/kept" <<'END' &
import http.client, os, sys, time
conn = http.client.HTTPConnection(sys.argv[1])
def ask(n):
    conn.request("GET", "/read/1", headers={"host": "h.example", "x-credential": "secret-two",
                 "x-attempt-id": "k%d-%s" % (n, sys.argv[2])})
    answer = conn.getresponse()
    answer.read()
    print(answer.status, flush=True)
ask(1)
sock = conn.sock
while not os.path.exists(sys.argv[3]):
    time.sleep(0.05)
ask(2)
print("same connection" if conn.sock is sock else "another connection")
END
kept=$!
wait_until grep -q 200 "$WORK/kept"
echo "-- withdrawn while requests wait for a slot"
# The upstream has two slots; the third request waits until one of the first two is done.
control "$UPC1" '{"work_ms":1500}'
for i in 1 2 3; do
	ask 1 /read/1 -H "x-credential: secret-two" >"$WORK/waits-$i" &
	eval "waits_$i=\$!"
	sleep 0.1
done
put_row op config "$(config 00000005 '"tenants":[{"name":"one","api-keys":["secret-one"]},{"name":"two","api-keys":["secret-three"]}],')"
# shellcheck disable=SC2154 # set by eval
wait "$waits_1" "$waits_2" "$waits_3"
sort "$WORK"/waits-?
control "$UPC1" '{"work_ms":5}'
: >"$WORK/go"
wait "$kept"
cat "$WORK/kept"
ask 2 /read/1 -H "x-credential: secret-two"
ask 2 /read/1 -H "x-credential: secret-one"

echo "-- the log names accounts and reasons, and no credential"
sleep 0.3
grep -ho 'status=[0-9]* why=[^=]* route=read' "$WORK"/gateway-?.log | grep status=401 | sort -u
grep -ho 'account=[a-z-]*' "$WORK"/gateway-?.log | sort -u
grep -l 'secret-' "$WORK"/gateway-?.log
curl -s "http://$METRICS1/metrics" | grep -c secret-
finish test/scripts/accounts.expected
