#!/bin/bash
# bamboocroft-load check, on written records and on a run. Guards against a judge that cannot fail:
# each kind of violation is shown to it once, next to cases that look similar but are allowed.
# shellcheck source=test/scripts/lib.sh
. "$(dirname "$0")/lib.sh"

begin
new_address UP UP_C

# caller ID STATUS OUTCOME [MEMBERS]: one caller's line.
caller() {
	printf '{"result":"ok","status":%s,"outcome":"%s","request_id":"%s","key":"k"%s}\n' \
		"$2" "$3" "$1" "${4:+,$4}" >>"$WORK/callers"
}

# ran UPSTREAM ID START END RESULT [PARTITION EPOCH [MEMBERS]]: one ledger line.
seq=0
ran() {
	seq=$((seq + 1))
	printf '{"upstream":"%s","service":"s","start_id":"x","seq":%s,"request_id":"%s","key":"k",' \
		"$1" $seq "$2" >>"$WORK/ledger"
	printf '"partition":%s,"epoch":%s,"start":%s,"end":%s,"result":"%s"%s}\n' \
		"${6:-null}" "${7:-0}" "$3" "$4" "$5" "${8:+,$8}" >>"$WORK/ledger"
}

# judge TITLE: checks what was written since the last call.
judge() {
	echo "== $1"
	touch "$WORK/callers" "$WORK/ledger"
	"$BIN/bamboocroft-load" check --callers "$WORK/callers" --ledgers "$WORK/ledger" \
		2>"$WORK/check.log"
	echo "exit code $?"
	sed 's/.*"msg":"\(.*\)"}$/\1/' "$WORK/check.log" | sed "s#$WORK/##g"
	rm -f "$WORK/callers" "$WORK/ledger"
}

run_written() {
	caller r1 200 completed '"body_check":"ok"'
	ran u1 r1 100 200 completed
	caller r2 503 not-run
	ran u1 r3 100 200 cancelled
	caller r3 0 unknown
	judge "nothing wrong"

	caller r1 503 not-run
	ran u1 r1 100 200 completed
	judge "answered not-run, but ran"

	caller r1 503 not-run
	ran u1 r1 100 200 discarded
	judge "answered not-run, and the upstream discarded it"

	caller r1 503 not-run '"idempotent":true'
	ran u1 r1 100 200 crashed
	judge "answered not-run, but crashed an upstream"

	caller r1 200 completed
	caller r1 503 not-run '"repeat":true'
	ran u1 r1 100 200 completed
	judge "a repeat was refused, the original ran"

	caller r1 503 not-run
	caller r1 503 not-run '"repeat":true'
	ran u1 r1 100 200 completed
	judge "both attempts answered not-run, but ran"

	caller r1 200 completed
	ran u1 r1 100 200 completed
	ran u2 r1 300 400 cancelled
	judge "ran twice"

	caller r1 200 completed '"idempotent":true'
	ran u1 r1 100 200 completed
	ran u2 r1 150 160 cancelled
	judge "ran twice, idempotent"

	caller r1 200 completed '"body_check":"mismatch","body_detail":"key of another request"'
	ran u1 r1 100 200 completed
	judge "answer of another request"

	caller r1 200 completed
	caller r2 409 completed
	ran u1 r1 100 200 cancelled
	judge "completed, but nobody completed it"

	ran u1 r1 100 200 completed 4 1
	ran u2 r2 199 300 completed 4 2
	judge "two owners at a time"

	ran u1 r1 100 200 completed 4 1
	ran u2 r2 200 300 completed 4 2
	ran u2 r3 200 300 completed 4 2
	ran u1 r4 250 260 completed
	ran u1 r5 250 260 discarded 4 1
	judge "owners one after the other"

	ran u1 r1 100 900 completed 4 1
	ran u1 r2 200 300 completed 4 1
	ran u1 r3 400 500 completed 4 1
	ran u2 r4 500 850 completed 4 2
	judge "a long run overlaps a later owner"

	ran u2 r1 100 200 completed 4 2
	ran u1 r2 300 400 completed 4 1
	judge "an older epoch after a newer one"

	ran u2 r1 100 200 completed 4 2
	ran u1 r2 300 400 completed 4 1 '"hot":true'
	judge "epochs of the partition and of the split-off key are counted apart"

	seq=0
	ran u1 r1 100 0 running
	seq=0
	ran u1 r1 100 200 completed
	ran u1 r2 100 0 running
	caller r1 200 completed
	judge "a run that is listed twice, and one without an end"

	echo 'no JSON' >"$WORK/callers"
	judge "bad callers' line"
	ran u1 r1 100 200 completed
	cp "$WORK/ledger" "$WORK/callers"
	judge "a ledger in place of callers' lines"
}

# Figures of a summary that do not depend on time.
counts_only() {
	grep -E '^(requests|repeats|successes|count|keys_with_failures)'
}

# load TITLE ARGUMENTS...: a run against the upstream, then the check with its ledger.
load() {
	echo "== $1"
	shift
	"$BIN/bamboocroft-load" --entry "$UP" --concurrency 2 --requests 40 --request-ids \
		--timeout-ms 60000 --out "$WORK/run" "$@" 2>"$WORK/load.log" | counts_only
	curl -s -m 60 "$UP_C/ledger" >"$WORK/up-ledger"
	"$BIN/bamboocroft-load" check --callers "$WORK/run" --ledgers "$WORK/up-ledger" |
		sed 's/load-[0-9a-f]*-[0-9]*/ID/g; s/key-[0-9]*/KEY/'
}

run_load() {
	start up standin-upstream --listen "$UP" --control "$UP_C" --id u1 --service s --slots 8 \
		--service-ms 1 --cold-requests 0
	wait_port "$UP" "$UP_C"
	load "plain" --keys 10 --zipf 1 --body-bytes 100 --per-key
	control "$UP_C" '{"wrong_id":3}'
	load "answers with another id" --keys 10 --zipf 1
	control "$UP_C" '{"drop_answers":2,"truncate":2}'
	load "lost and cut answers"
	control "$UP_C" '{"drain":true}'
	load "draining" --keys 1 --per-key
	control "$UP_C" '{"drain":false}'
	load "repeats of ids, which an upstream alone does not refuse" --repeat-percent 100 |
		grep -v '^violation ran-twice'
}

run_written
run_load
finish "${0%.sh}.expected"
