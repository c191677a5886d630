#!/bin/bash
# bamboocroft-ctl against a stand-in of the operators' port: output and exit code of each command,
# fallback to other routers, answers that are lost or damaged. Compares with ctl.expected.
set -u
cd "$(dirname "$0")/../.." || exit 1
ctl=$PWD/build/san/bin/bamboocroft-ctl
expected=$PWD/test/scripts/ctl.expected
server=$PWD/test/scripts/ctl_server.py
dir=$(mktemp -d)
cd "$dir" || exit 1
export USER=ana

mkfifo hold
python3 "$server" <hold >ports &
pid=$!
exec 9>hold
trap 'exec 9>&-; wait $pid; rm -rf "$dir"' EXIT
until [ "$(wc -l <ports)" = 12 ]; do
	kill -0 $pid || exit 1
	sleep 0.02
done
at() { echo "127.0.0.1:$(awk -v m="$1" '$1 == m { print $2 }' ports)"; }
echo credential-of-the-test >credential
echo wrong-credential >wrong
printf 'two words\n' >blanks
echo 'regions: []' >config.yaml

# Port numbers differ from run to run: each is replaced by the name of its mode.
names() { sed "$(awk '{ printf "s/127.0.0.1:%s/ROUTER-%s/g;", $2, $1 }' ports)"; }

# run NAME ARGUMENT...: prints the command with its output and exit code.
run() {
	echo "\$ bamboocroft-ctl $*" | names
	"$ctl" "$@" >out 2>&1
	local code=$?
	names <out
	echo "exit code $code"
	echo
}
with() { run --router "$(at "$1")" --credential-file credential "${@:2}"; }

{
	run --version
	run
	run destroy
	run status
	run --router "$(at good)" status
	run --router "$(at good)" --credential-file missing status
	run --router "$(at good)" --credential-file blanks status
	run --router "$(at good)" --credential-file wrong status
	run --router 127.0.0.1 --credential-file credential status
	run --wait-seconds soon status
	run --nothing status
	with good status
	with good status now
	with good show
	with good show --json
	with chunked show
	with good events --since 77 --homed
	with good plan take-out meseta-a
	with good plan take-out meseta-a --from 5 --out plan.json
	cat plan.json
	echo
	with good plan take-out meseta-b --out refused.json
	[ ! -e refused.json ] || echo 'a refused plan was written'
	with good plan apply --file config.yaml
	with good plan apply --file missing.yaml
	# A plan that another operator overtook.
	with good confirm --plan 00000000000000ab --intent "drain history-01" --from 4
	with good confirm
	with good confirm config.yaml
	# Done by the first router, which loses its answer; the second one finds it in the ledger.
	run --router "$(at busy)" --router "$(at loses-answers)" --router "$(at good)" \
		--credential-file credential confirm plan.json --wait
	with good lift 00000000000000ff
	with good lift 00000000000000ff --yes
	with good lift
	for mode in closed closes garbage truncated too-long not-json chunk-cut; do
		with "$mode" status
	done
	run --router "$(at closed)" --router "$(at garbage)" --router "$(at silent)" \
		--router "$(at good)" --credential-file credential show
} >actual 2>&1

if [ "${1:-}" = --update ]; then
	cp actual "$expected"
fi
diff -u "$expected" actual
