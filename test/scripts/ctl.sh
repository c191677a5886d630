#!/bin/bash
# bamboocroft-ctl against a stand-in of the operators' port (ctl_server.py): output and exit code of
# each command, fallback to other routers, lost and malformed answers. Compares with ctl.expected;
# --update writes that file.
set -u
cd "$(dirname "$0")/../.." || exit 1
ctl=$PWD/build/san/bin/bamboocroft-ctl
expected=$PWD/test/scripts/ctl.expected
server=$PWD/test/scripts/ctl_server.py
dir=$(mktemp -d)
cd "$dir" || exit 1
export USER=ana

# The server runs until descriptor 9, the writing end of its standard input, is closed.
mkfifo server_input
python3 "$server" <server_input >ports &
pid=$!
exec 9>server_input
trap 'exec 9>&-; wait $pid; rm -rf "$dir"' EXIT
until [ "$(wc -l <ports)" = 12 ]; do
	kill -0 $pid || exit 1
	sleep 0.02
done
# address_of MODE: address of the server that answers in this way.
address_of() { echo "127.0.0.1:$(awk -v m="$1" '$1 == m { print $2 }' ports)"; }
echo credential-of-the-test >credential
echo wrong-credential >wrong
printf 'two words\n' >blanks
echo 'regions: []' >config.yaml

# Replaces each address by the name of its mode, since port numbers differ from run to run.
replace_addresses() { sed "$(awk '{ printf "s/127.0.0.1:%s/ROUTER-%s/g;", $2, $1 }' ports)"; }

# run ARGUMENT...: prints the command with its output and exit code.
run() {
	echo "\$ bamboocroft-ctl $*" | replace_addresses
	"$ctl" "$@" >out 2>&1
	local code=$?
	replace_addresses <out
	echo "exit code $code"
	echo
}
# run_with MODE ARGUMENT...: runs a command against the server of one mode.
run_with() { run --router "$(address_of "$1")" --credential-file credential "${@:2}"; }

{
	run --version
	run
	run destroy
	run status
	run --router "$(address_of good)" status
	run --router "$(address_of good)" --credential-file missing status
	run --router "$(address_of good)" --credential-file blanks status
	run --router "$(address_of good)" --credential-file wrong status
	run --router 127.0.0.1 --credential-file credential status
	run --wait-seconds soon status
	run --nothing status
	run_with good status
	run_with good status now
	run_with good show
	run_with good show --json
	run_with chunked show
	run_with good events --since 77 --homed
	run_with good plan take-out meseta-a
	run_with good plan take-out meseta-a --from 5 --out plan.json
	cat plan.json
	echo
	run_with good plan take-out meseta-b --out refused.json
	[ ! -e refused.json ] || echo 'a refused plan was written'
	run_with good plan apply --file config.yaml
	run_with good plan apply --file missing.yaml
	# Refused: another operator changed the configuration after version 4, from which the plan
	# was made.
	run_with good confirm --plan 00000000000000ab --intent "drain history-01" --from 4
	run_with good confirm
	run_with good confirm config.yaml
	# The first router fails with 503, the second carries out the plan and closes the connection
	# without an answer, and the third reports it as already done.
	run --router "$(address_of busy)" --router "$(address_of loses-answers)" --router "$(address_of good)" \
		--credential-file credential confirm plan.json --wait
	run_with good lift 00000000000000ff
	run_with good lift 00000000000000ff --yes
	run_with good lift
	for mode in closed closes garbage truncated too-long not-json chunk-cut; do
		run_with "$mode" status
	done
	run --router "$(address_of closed)" --router "$(address_of garbage)" --router "$(address_of silent)" \
		--router "$(address_of good)" --credential-file credential show
} >actual 2>&1

if [ "${1:-}" = --update ]; then
	cp actual "$expected"
fi
diff -u "$expected" actual
