#!/bin/bash
# Scripted run against the stand-ins. Guards against stand-ins that do not do what the design page
# says of the platform and of upstreams: tests of the router rest on them.
# shellcheck source=test/scripts/lib.sh
. "$(dirname "$0")/lib.sh"

begin
new_address TABLE TABLE_C OBJECTS OBJECTS_C LIST LIST_C SLOW_LIST SLOW_LIST_C
new_address UP UP_C CHECKER CHECKER_C

# call LABEL CURL-ARGUMENTS...: prints status, the headers that matter, and the body.
call() {
	local label=$1
	shift
	local head body
	head=$(mktemp "$WORK/head.XXXXXX")
	body=$(mktemp "$WORK/body.XXXXXX")
	if ! curl -s -m 60 -D "$head" -o "$body" "$@"; then
		echo "$label: no whole answer"
		return
	fi
	printf '%s: %s' "$label" "$(sed -n '1s/^HTTP.1.1 \([0-9]*\).*/\1/p' "$head")"
	tr -d '\r' <"$head" | grep -iE '^(etag|x-write-token|x-request-id|x-not-run|x-shed):' |
		sort | while read -r line; do printf ' [%s]' "$line"; done
	printf ' %s\n' "$(hide <"$body")"
}

# Values that differ from run to run.
hide() {
	sed -e 's/"start_id":"[0-9a-f]*"/"start_id":"*"/g' \
		-e 's/"\(start\|end\|[a-z_]*utc_ms\)":[1-9][0-9]*/"\1":"*"/g'
}

put_row() {
	local label=$1 token=$2 body=$3
	shift 3
	call "$label" -X PUT -H "x-write-token: $token" "$@" --data-binary "$body" "$TABLE/t/config"
}

run_table() {
	echo "== table: compare-and-set"
	start table standin-table --listen "$TABLE" --control "$TABLE_C"
	wait_port "$TABLE" "$TABLE_C"
	call "read, absent" "$TABLE/t/config"
	put_row "create" 00000000000000a1 one -H 'if-none-match: *'
	put_row "create again" 00000000000000a2 two -H 'if-none-match: *'
	put_row "write over 1" 00000000000000a3 three -H 'if-match: "1"'
	put_row "conflict" 00000000000000a4 four -H 'if-match: "1"'
	put_row "ahead" 00000000000000a5 five -H 'if-match: "3"'
	call "read" "$TABLE/t/config"
	call "unchanged" -H 'if-none-match: "2"' "$TABLE/t/config"
	call "changed" -H 'if-none-match: "1"' "$TABLE/t/config"
	put_row "no condition" 00000000000000a6 six
	put_row "both conditions" 00000000000000a6 six -H 'if-match: "2"' -H 'if-none-match: *'
	put_row "bad version" 00000000000000a6 six -H 'if-match: 2'
	put_row "bad token" xyz six -H 'if-match: "2"'
	call "bad name" "$TABLE/t/a%20b"

	echo "== table: lost answer, then read back"
	control "$TABLE_C" '{"drop_answers":1}'
	put_row "answer lost" 00000000000000b1 seven -H 'if-match: "2"'
	call "read back" "$TABLE/t/config"
	put_row "sent again" 00000000000000b1 seven -H 'if-match: "2"'
	control "$TABLE_C" '{"truncate":1}'
	call "answer cut off" "$TABLE/t/config"
	call "counts" "$TABLE_C/counts"

	echo "== table: down and back"
	control "$TABLE_C" '{"down":true}'
	call "down" "$TABLE/t/config"
	control "$TABLE_C" '{"down":false,"freeze_ms":200}'
	call "after a freeze" "$TABLE/t/config"
	call "bad switch" -X POST -d '{"flood":1}' "$TABLE_C/control"
	call "bad value" -X POST -d '{"down":3}' "$TABLE_C/control"
	call "no JSON" -X POST -d 'down' "$TABLE_C/control"
}

# Reads one whole answer from descriptor 5 and prints its first line.
read_answer() {
	local line first length=0
	read -r first <&5
	while read -r line <&5 && [ -n "${line%$'\r'}" ]; do
		case ${line,,} in content-length:*)
			length=${line#*: }
			length=${length%$'\r'}
			;;
		esac
	done
	read -r -N "$length" line <&5
	echo "${first%$'\r'}"
}

# A connection that was open when it went silent is never answered; a new one is.
run_silent() {
	local line=
	echo "== table: silent connections"
	exec 5<>"/dev/tcp/${TABLE%:*}/${TABLE#*:}"
	printf 'GET /t/config HTTP/1.1\r\nhost: t\r\n\r\n' >&5
	read_answer
	control "$TABLE_C" '{"silent_connections":true}'
	printf 'GET /t/config HTTP/1.1\r\nhost: t\r\n\r\n' >&5
	if read -r -t 0.5 line <&5; then
		echo "silent connection answered: $line"
	else
		echo "silent connection: nothing"
	fi
	call "new connection" "$TABLE/t/config"
	exec 5>&-
}

run_objects() {
	echo "== objects"
	start objects standin-objects --listen "$OBJECTS" --control "$OBJECTS_C"
	wait_port "$OBJECTS" "$OBJECTS_C"
	call "write" -X PUT --data-binary one "$OBJECTS/o/timeline/a"
	call "write again" -X PUT --data-binary one "$OBJECTS/o/timeline/a"
	call "write another" -X PUT --data-binary two "$OBJECTS/o/other"
	call "read" "$OBJECTS/o/timeline/a"
	call "absent" "$OBJECTS/o/timeline/b"
	call "list" "$OBJECTS/o/?prefix=timeline/"
	call "list all" "$OBJECTS/o/"
	call "bad method" -X DELETE "$OBJECTS/o/other"
}

post_list() {
	call "$1" -X POST -d "$2" "$3/instances"
}

run_instances() {
	local a='{"id":"a","ip":"127.0.0.1","port":81,"kind":"upstream","state":"live"}'
	echo "== instances"
	start list standin-instances --listen "$LIST" --control "$LIST_C" --lag-ms 0
	start slow_list standin-instances --listen "$SLOW_LIST" --control "$SLOW_LIST_C" \
		--lag-ms 600000
	wait_port "$LIST" "$LIST_C" "$SLOW_LIST" "$SLOW_LIST_C"
	post_list "load" "{\"instances\":[$a]}" "$LIST_C"
	post_list "leaving" '{"instances":[{"id":"a","state":"leaving"}]}' "$LIST_C"
	call "shown" "$LIST/instances"
	post_list "remove" '{"remove":["a"]}' "$LIST_C"
	call "gone" "$LIST/instances"
	post_list "remove again" '{"remove":["a"]}' "$LIST_C"
	post_list "incomplete" '{"instances":[{"id":"b","state":"live"}]}' "$LIST_C"
	post_list "bad state" '{"instances":[{"id":"b","state":"dead"}]}' "$LIST_C"
	post_list "load, lagging" "{\"instances\":[$a]}" "$SLOW_LIST_C"
	post_list "remove, lagging" '{"remove":["a"]}' "$SLOW_LIST_C"
	call "still shown" "$SLOW_LIST/instances"
}

# ask LABEL ID CURL-ARGUMENTS...: one request to the upstream without grants.
ask() {
	local label=$1 id=$2
	shift 2
	call "$label" -H "x-request-id: $id" -H 'x-key: k1' "$@" "$UP/orders"
}

run_upstream() {
	local holder
	echo "== upstream: cold start and fall-over"
	start up standin-upstream --listen "$UP" --control "$UP_C" --id u1 --service orders \
		--slots 2 --service-ms 1 --fixed --cold-limit 1 --cold-requests 2 --lag-ms 0 \
		--ledger "$WORK/ledger"
	wait_port "$UP" "$UP_C"
	call "health" "$UP/health"
	control "$UP_C" '{"hold":true}'
	curl -s -m 60 -H 'x-request-id: held-0001' "$UP/orders" >/dev/null &
	holder=$!
	wait_until counts_are "$UP_C" in_use 1
	call "load" "$UP/load"
	ask "one too many while cold" order-0001
	kill "$holder"
	wait "$holder" 2>/dev/null
	wait_until counts_are "$UP_C" cancelled 1
	control "$UP_C" '{"hold":false}'
	ask "first" order-0002 -d 'a body'
	ask "second" order-0003
	call "health" "$UP/health"
	call "counts" "$UP_C/counts"

	echo "== upstream: slots"
	control "$UP_C" '{"hold":true}'
	curl -s -m 60 -H 'x-request-id: held-0002' "$UP/orders" -o "$WORK/held-0002" &
	wait_until counts_are "$UP_C" in_use 1
	curl -s -m 60 -H 'x-request-id: held-0003' "$UP/orders" -o "$WORK/held-0003" &
	wait_until counts_are "$UP_C" in_use 2
	ask "over the limit" order-0004

	echo "== upstream: drain lets running requests end"
	control "$UP_C" '{"drain":true}'
	ask "while draining" order-0005
	call "health" "$UP/health"
	control "$UP_C" '{"hold":false}'
	wait_until test -s "$WORK/held-0002" -a -s "$WORK/held-0003"
	hide <"$WORK/held-0002"
	echo
	hide <"$WORK/held-0003"
	echo
	control "$UP_C" '{"drain":false}'

	echo "== upstream: deadlines and bad headers"
	ask "expired" order-0006 -H 'x-deadline: 1000'
	ask "not expired" order-0007 -H 'x-deadline: 99999999999999'
	ask "bad epoch" order-0008 -H 'x-epoch: new'

	echo "== upstream: wrong, lost and cut answers"
	control "$UP_C" '{"wrong_id":1}'
	ask "wrong id" order-0009
	control "$UP_C" '{"drop_answers":1}'
	call "probes are not counted" "$UP/health"
	ask "lost" order-0010
	control "$UP_C" '{"truncate":1}'
	ask "cut" order-0011
	control "$UP_C" '{"go_cold":true,"health_state":"warm"}'
	call "misleading health" "$UP/health"
	control "$UP_C" '{"health_state":""}'
	call "cold again" "$UP/health"
	curl -s "$UP_C/ledger" | hide
	call "counts" "$UP_C/counts"

	echo "== upstream: straggler, and an answer that comes too late"
	control "$UP_C" '{"slow_factor":600000,"slow_for_ms":600000}'
	curl -s -m 60 -H 'x-request-id: slow-0001' "$UP/orders" >/dev/null &
	holder=$!
	wait_until counts_are "$UP_C" in_use 1
	kill "$holder" && echo "the straggler had not answered"
	wait "$holder" 2>/dev/null
	wait_until counts_are "$UP_C" cancelled 2
	control "$UP_C" '{"slow_factor":1,"late_answer_ms":600000}'
	curl -s -m 60 -H 'x-request-id: late-0001' "$UP/orders" >/dev/null &
	holder=$!
	wait_until counts_are "$UP_C" completed 9
	kill "$holder" && echo "completed, but not answered"
	wait "$holder" 2>/dev/null
	control "$UP_C" '{"late_answer_ms":0}'
	curl -s "$UP_C/ledger" | tail -n 2 | hide

	echo "== upstream: crash"
	control "$UP_C" '{"crash_on":"poison"}'
	ask "harmless" order-0012 -d 'honey'
	ask "crash" order-0013 -d 'some poison here'
	await_exit up
	echo "exit code $?"
	tail -n 2 "$WORK/ledger" | hide
}

# own LABEL ID FENCE PARTITION EPOCH CURL-ARGUMENTS...: one request with a claim of ownership.
own() {
	local label=$1 id=$2 fence=$3 partition=$4 epoch=$5
	shift 5
	call "$label" -H "x-request-id: $id" -H 'x-key: k2' -H "x-fence: $fence" \
		-H "x-partition: $partition" -H "x-epoch: $epoch" "$@" "$CHECKER/design"
}

# grant LABEL FENCE TTL EXPIRES PARTITIONS HOT
grant() {
	call "$1" -X PUT -d "{\"service\":\"design\",\"fence\":$2,\"assign_version\":1,
		\"ttl_ms\":$3,\"expires_utc_ms\":$4,\"partitions\":$5,\"hot\":$6}" "$CHECKER/grant"
}

run_grants() {
	local never=99999999999999 hash=00000000000000ff
	echo "== upstream: fenced grants"
	start checker standin-upstream --listen "$CHECKER" --control "$CHECKER_C" --id u2 \
		--service design --service-ms 1 --fixed --checks-grants --cold-requests 0
	wait_port "$CHECKER" "$CHECKER_C"
	own "no grant" design-01 7 4 3
	grant "grant" 7 600000 $never '[[4,3],[5,1]]' "[[\"$hash\",9]]"
	own "granted" design-02 7 4 3
	own "newer fence" design-03 8 4 3
	own "older fence" design-04 6 4 3
	own "older epoch" design-05 7 4 2
	own "other partition" design-06 7 6 3
	own "split-off key" design-07 7 4 9 -H "x-key-hash: $hash"
	own "split-off key, epoch of its partition" design-08 7 4 3 -H "x-key-hash: $hash"
	own "key that is not split off" design-09 7 4 3 -H 'x-key-hash: 00000000000000fe'
	call "no claim" -H 'x-request-id: design-10' "$CHECKER/design"
	grant "older grant" 6 600000 $never '[[4,3]]' '[]'
	grant "same fence" 7 600000 $never '[[5,1]]' '[]'
	own "partition taken away" design-11 7 4 3
	grant "ttl over" 7 0 $never '[[4,3]]' '[]'
	own "expired by ttl" design-12 7 4 3
	grant "late grant" 7 600000 1000 '[[4,3]]' '[]'
	own "expired by time of day" design-13 7 4 3
	grant "bad list" 7 600000 $never '[4]' '[]'
	call "bad grant" -X PUT -d 'x' "$CHECKER/grant"

	echo "== upstream: grant changes while a request runs"
	grant "grant" 8 600000 $never '[[4,3]]' '[]'
	control "$CHECKER_C" '{"hold":true}'
	own "kept by a newer fence" design-14 8 4 3 >"$WORK/kept" &
	wait_until counts_are "$CHECKER_C" in_use 1
	grant "newer fence" 9 600000 $never '[[4,3]]' '[]'
	control "$CHECKER_C" '{"hold":false}'
	wait $!
	cat "$WORK/kept"
	control "$CHECKER_C" '{"hold":true}'
	own "taken away" design-15 9 4 3 >"$WORK/taken" &
	wait_until counts_are "$CHECKER_C" in_use 1
	grant "without the partition" 9 600000 $never '[]' '[]'
	control "$CHECKER_C" '{"hold":false}'
	wait $!
	cat "$WORK/taken"
	curl -s "$CHECKER_C/ledger" | hide
	call "counts" "$CHECKER_C/counts"
}

run_table
run_silent
run_objects
run_instances
run_upstream
run_grants
finish "${0%.sh}.expected"
