#!/bin/bash
# bamboocroft-load check, on records that the script writes and on records of real load. Guards
# against a checker that misses violations: each kind of violation occurs once, beside similar cases
# that are allowed.
# shellcheck source=test/scripts/lib.sh
. "$(dirname "$0")/lib.sh"

begin
new_address UP UP_C

# add_answer ID STATUS OUTCOME [MEMBERS]: adds an answer to the callers' records.
add_answer() {
	printf '{"result":"ok","status":%s,"outcome":"%s","request_id":"%s","key":"k"%s}\n' \
		"$2" "$3" "$1" "${4:+,$4}" >>"$WORK/callers"
}

# add_run UPSTREAM ID START END RESULT [PARTITION EPOCH [MEMBERS]]: adds a run to the ledger.
seq=0
add_run() {
	seq=$((seq + 1))
	printf '{"upstream":"%s","service":"s","start_id":"x","seq":%s,"request_id":"%s","key":"k",' \
		"$1" $seq "$2" >>"$WORK/ledger"
	printf '"partition":%s,"epoch":%s,"start":%s,"end":%s,"result":"%s"%s}\n' \
		"${6:-null}" "${7:-0}" "$3" "$4" "$5" "${8:+,$8}" >>"$WORK/ledger"
}

# check_records TITLE: checks the records added since the last call.
check_records() {
	echo "== $1"
	touch "$WORK/callers" "$WORK/ledger"
	"$BIN/bamboocroft-load" check --callers "$WORK/callers" --ledgers "$WORK/ledger" \
		2>"$WORK/check.log"
	echo "exit code $?"
	sed 's/.*"msg":"\(.*\)"}$/\1/' "$WORK/check.log" | sed "s#$WORK/##g"
	rm -f "$WORK/callers" "$WORK/ledger"
}

check_written_records() {
	add_answer r1 200 completed '"body_check":"ok"'
	add_run u1 r1 100 200 completed
	add_answer r2 503 not-run
	add_run u1 r3 100 200 cancelled
	add_answer r3 0 unknown
	check_records "no violation"

	add_answer r1 503 not-run
	add_run u1 r1 100 200 completed
	check_records "answered not-run, but ran"

	add_answer r1 503 not-run
	add_run u1 r1 100 200 discarded
	check_records "answered not-run, and the upstream discarded it"

	add_answer r1 503 not-run '"idempotent":true'
	add_run u1 r1 100 200 crashed
	check_records "answered not-run, but crashed an upstream"

	add_answer r1 200 completed
	add_answer r1 503 not-run '"repeat":true'
	add_run u1 r1 100 200 completed
	check_records "a repeat was refused, the original ran"

	add_answer r1 503 not-run
	add_answer r1 503 not-run '"repeat":true'
	add_run u1 r1 100 200 completed
	check_records "both attempts answered not-run, but ran"

	add_answer r1 200 completed
	add_run u1 r1 100 200 completed
	add_run u2 r1 300 400 cancelled
	check_records "ran twice"

	add_answer r1 200 completed '"idempotent":true'
	add_run u1 r1 100 200 completed
	add_run u2 r1 150 160 cancelled
	check_records "ran twice, idempotent"

	add_answer r1 200 completed '"body_check":"mismatch","body_detail":"key of another request"'
	add_run u1 r1 100 200 completed
	check_records "answer of another request"

	add_answer r1 200 completed
	add_answer r2 409 completed
	add_run u1 r1 100 200 cancelled
	check_records "answered completed, but no upstream completed it"

	add_run u1 r1 100 200 completed 4 1
	add_run u2 r2 199 300 completed 4 2
	check_records "two owners at the same time"

	add_run u1 r1 100 200 completed 4 1
	add_run u2 r2 200 300 completed 4 2
	add_run u2 r3 200 300 completed 4 2
	add_run u1 r4 250 260 completed
	add_run u1 r5 250 260 discarded 4 1
	check_records "owners one after the other"

	add_run u1 r1 100 900 completed 4 1
	add_run u1 r2 200 300 completed 4 1
	add_run u1 r3 400 500 completed 4 1
	add_run u2 r4 500 850 completed 4 2
	check_records "a long run overlaps a later owner"

	add_run u2 r1 100 200 completed 4 2
	add_run u1 r2 300 400 completed 4 1
	check_records "an older epoch after a newer one"

	add_run u2 r1 100 200 completed 4 2
	add_run u1 r2 300 400 completed 4 1 '"hot":true'
	check_records "epochs of the partition and of the split-off key are counted apart"

	seq=0
	add_run u1 r1 100 0 running
	seq=0
	add_run u1 r1 100 200 completed
	add_run u1 r2 100 0 running
	add_answer r1 200 completed
	check_records "a run that is listed twice, and one without an end"

	echo 'no JSON' >"$WORK/callers"
	check_records "callers' line that is not JSON"
	add_run u1 r1 100 200 completed
	cp "$WORK/ledger" "$WORK/callers"
	check_records "a ledger in place of callers' lines"
}

# Passes on the counts of a load's summary and drops its other figures, which depend on time.
keep_counts() {
	grep -E '^(requests|repeats|successes|count|keys_with_failures)'
}

# load_and_check TITLE ARGUMENTS...: load on the upstream, then the check against the upstream's
# ledger.
load_and_check() {
	echo "== $1"
	shift
	"$BIN/bamboocroft-load" --entry "$UP" --concurrency 2 --requests 40 --request-ids \
		--timeout-ms 60000 --out "$WORK/run" "$@" 2>"$WORK/load.log" | keep_counts
	curl -s -m 60 "$UP_C/ledger" >"$WORK/up-ledger"
	"$BIN/bamboocroft-load" check --callers "$WORK/run" --ledgers "$WORK/up-ledger" |
		sed 's/load-[0-9a-f]*-[0-9]*/ID/g; s/key-[0-9]*/KEY/'
}

check_real_load() {
	start up standin-upstream --listen "$UP" --control "$UP_C" --id u1 --service s --slots 8 \
		--service-ms 1 --cold-requests 0
	wait_port "$UP" "$UP_C"
	load_and_check "plain" --keys 10 --zipf 1 --body-bytes 100 --per-key
	control "$UP_C" '{"wrong_id":3}'
	load_and_check "answers with the id of another request" --keys 10 --zipf 1
	control "$UP_C" '{"drop_answers":2,"truncate":2}'
	load_and_check "lost and truncated answers"
	control "$UP_C" '{"drain":true}'
	load_and_check "draining" --keys 1 --per-key
	control "$UP_C" '{"drain":false}'
	load_and_check "repeats of ids, which an upstream alone does not refuse" --repeat-percent 100 |
		grep -v '^violation ran-twice'
}

check_written_records
check_real_load
finish "${0%.sh}.expected"
