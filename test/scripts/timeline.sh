#!/bin/bash
# bamboocroft-timeline on logs. Guards against an order of events that puts an effect before its
# cause, events that are shown twice, filters that let other events through, and request ids of
# requests with home regions that are shown or exported without --homed.
# shellcheck source=test/scripts/lib.sh
. "$(dirname "$0")/lib.sh"

begin
new_address OBJECTS OBJECTS_C NOBODY

# event FILE MS COUNTER PROCESS MEMBERS: adds an event to a log, with MS and COUNTER as its hybrid
# logical clock (hlc).
event() {
	printf '{"hlc":%s,"utc_ms":%s,"process":"%s","incarnation":"i1",%s}\n' \
		$(($2 << 16 | $3)) "$2" "$4" "$5" >>"$WORK/$1"
}

# show TITLE ARGUMENTS...: prints the output, exit code and errors of bamboocroft-timeline.
show() {
	echo "== $1"
	shift
	"$BIN/bamboocroft-timeline" "$@" 2>"$WORK/show.log"
	echo "exit code $?"
	sed -e 's/.*"msg":"\(.*\)"}$/\1/' -e "s#$WORK/##g" -e "s#$OBJECTS#OBJECTS#g" \
		-e "s#$NOBODY#NOBODY#g" "$WORK/show.log"
}

base=1796361520000
lease_taken='"module":"lease","kind":"lease-taken","cause":"majority","service":"design","number":7'
owner_changed='"module":"broker","kind":"owner-changed","cause":"upstream lost","service":"design"'
owner_changed+=',"partition":99,"upstream":"u2","failure_domain":"fd1","version":4,"number":3'
design_refused='"module":"entry","kind":"not-run","cause":"no owner","service":"design","partition":99'
orders_refused='"module":"entry","kind":"not-run","cause":"no owner","service":"orders","partition":99'
plan_confirmed='"module":"opreq","kind":"plan-confirmed","cause":"operator","plan":"p-17"'
homed='"homed":true'

event r1.log $((base + 5)) 0 r1 "$owner_changed"
event r1.log $base 0 r1 "$lease_taken"
event r1.log $((base + 7)) 0 r1 "$plan_confirmed"
echo '{"utc_ms":1,"level":"info","process":"r1","module":"node","msg":"started"}' >>"$WORK/r1.log"
echo 'a line of something else' >>"$WORK/r1.log"
# The clock of router-two is behind: both events have the same time, and only the counter of the hlc
# shows that the refusal came after the change of owner on r1.
event r2.log $((base + 5)) 1 router-two "$design_refused,\"request_id\":\"req-00001\",\"peer\":\"r1\""
event r2.log $((base + 5)) 2 router-two "$orders_refused"
event r2.log $((base + 9)) 0 router-two "$design_refused,$homed"
# The same events as the operators' port serves them, which adds the request id of the homed
# request.
event served.log $((base + 5)) 2 router-two "$orders_refused"
event served.log $((base + 9)) 0 router-two "$design_refused,$homed,\"request_id\":\"req-homed\""

all=(--file "$WORK/r2.log" --file "$WORK/r1.log" --file "$WORK/served.log")
show "all, in causal order" "${all[@]}"
show "the id of a homed request finds nothing" "${all[@]}" --request-id req-homed
show "the id of a homed request with --homed" "${all[@]}" --request-id req-homed --homed
show "key: events of the key's partition in the service" "${all[@]}" --service design --key key-117
show "key with another number of partitions" "${all[@]}" --service design --key key-117 \
	--partitions 2
show "partition" "${all[@]}" --partition 99 --service orders
show "upstream" "${all[@]}" --upstream u2
show "failure domain" "${all[@]}" --failure-domain fd1
show "plan" "${all[@]}" --plan p-17
show "request id" "${all[@]}" --request-id req-00001
show "kinds" "${all[@]}" --kind lease-taken --kind plan-confirmed
show "since" "${all[@]}" --since $(((base + 5) << 16 | 1))
show "JSON, without ids of homed requests" "${all[@]}" --json --partition 99 --service design
show "JSON, with ids of homed requests" "${all[@]}" --json --homed --request-id req-homed
show "a file is missing" --file "$WORK/r1.log" --file "$WORK/r3.log" --kind lease-taken
show "a router without a credential" --router "$NOBODY"
printf '  credential-0123456789 \n' >"$WORK/credential"
show "a router is unreachable" --file "$WORK/r1.log" --router "$NOBODY" \
	--credential-file "$WORK/credential" --kind lease-taken
show "key without service" "${all[@]}" --key k
show "bad since" "${all[@]}" --since yesterday

show "export, store down" "${all[@]}" --kind lease-taken --export "$OBJECTS" --wait-seconds 0
start objects standin-objects --listen "$OBJECTS" --control "$OBJECTS_C"
wait_port "$OBJECTS" "$OBJECTS_C"
control "$OBJECTS_C" '{"drop_answers":1}'
show "export, first answer lost" "${all[@]}" --kind not-run --homed --export "$OBJECTS"
echo "== what was exported"
curl -s "$OBJECTS/o/?prefix=timeline/"
echo
name=$(curl -s "$OBJECTS/o/?prefix=timeline/" | sed 's/.*"name":"\([^"]*\)".*/\1/')
curl -s "$OBJECTS/o/$name"
curl -s "$OBJECTS_C/counts"
echo
finish "${0%.sh}.expected"
