# Helpers for scripted runs: programs by full path, addresses that no other running script uses,
# waiting, ending programs by process id, and comparison with expected output. Source it first:
#   . "$(dirname "$0")/lib.sh"
#   begin; start NAME PROGRAM ARGUMENTS...; ...; finish EXPECTED-FILE
# What the script prints on standard output between begin and finish is compared.
# shellcheck shell=bash
set -u

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
# The sanitizer build, unless the caller names another directory of programs.
BIN=${BIN:-$ROOT/build/san/bin}
WAIT_SECONDS=${WAIT_SECONDS:-60} # a program that is not ready by then is a failure, never a slow pass
FIRST_PORT=21001
WORK=
declare -A PIDS=()

# One address for each process id: scripts that run at the same time never share one.
IP=127.$((16 + ($$ >> 16 & 63))).$(($$ >> 8 & 255)).$(($$ & 255))
next_port=$FIRST_PORT

fail() {
	echo "FAILED: $*" >&2
	exit 1
}

# new_address VARIABLE...: sets each to an unused "ip:port".
new_address() {
	local variable
	for variable in "$@"; do
		printf -v "$variable" '%s:%d' "$IP" "$next_port"
		next_port=$((next_port + 1))
	done
}

end_all() {
	local name
	for name in "${!PIDS[@]}"; do
		# SIGCONT comes first; later it would make the leak checker of an ending process hang.
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -TERM "${PIDS[$name]}" 2>/dev/null
	done
	for name in "${!PIDS[@]}"; do
		wait_gone "${PIDS[$name]}" || kill -KILL "${PIDS[$name]}" 2>/dev/null
		wait "${PIDS[$name]}" 2>/dev/null
	done
	PIDS=()
}

on_exit() {
	local code=$?
	end_all
	if [ "$code" -ne 0 ] && [ -n "$WORK" ]; then
		echo "logs of the programs:" >&2
		tail -n 20 "$WORK"/*.log >&2 2>/dev/null
	fi
	[ -z "$WORK" ] || rm -rf "$WORK"
	exit "$code"
}

# Makes the work directory and keeps standard output for finish.
begin() {
	WORK=$(mktemp -d)
	trap on_exit EXIT
	trap 'exit 130' INT TERM
	exec 3>&1 >"$WORK/out"
}

# start NAME PROGRAM ARGUMENTS...: runs it in the background; its output goes to NAME.log.
start() {
	local name=$1 program=$2
	shift 2
	"$BIN/$program" "$@" >>"$WORK/$name.log" 2>&1 3>&- &
	PIDS[$name]=$!
}

# stop NAME [SIGNAL]: ends the program and returns its exit code.
stop() {
	kill -"${2:-TERM}" "${PIDS[$1]}" 2>/dev/null
	await_exit "$1"
}

# await_exit NAME: waits until the program has ended and returns its exit code.
await_exit() {
	local code
	wait "${PIDS[$1]}" 2>/dev/null
	code=$?
	unset "PIDS[$1]"
	return $code
}

wait_gone() {
	local i
	for ((i = 0; i < 100; i++)); do
		kill -0 "$1" 2>/dev/null || return 0
		sleep 0.05
	done
	return 1
}

# wait_until COMMAND...: repeats the command, quietly, until it succeeds.
wait_until() {
	local end=$((SECONDS + WAIT_SECONDS))
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || fail "still not true after $WAIT_SECONDS s: $*"
		sleep 0.05
	done
}

port_open() {
	(exec 4<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null
}

# wait_port IP:PORT...: until somebody listens there.
wait_port() {
	local address
	for address in "$@"; do
		wait_until port_open "$address"
	done
}

# json_is FILTER-KEY VALUE: whether standard input, one JSON object, has this member.
json_is() {
	python3 -c 'import json, sys
value = json.load(sys.stdin).get(sys.argv[1])
sys.exit(str(value) != sys.argv[2])' "$1" "$2"
}

# counts_are CONTROL KEY VALUE: whether GET /counts of a stand-in shows this value.
counts_are() {
	curl -s -m 20 "$1/counts" | json_is "$2" "$3"
}

# control CONTROL JSON: sets fault switches; anything but success fails the script.
control() {
	local answer
	answer=$(curl -s -m 20 -w ' %{http_code}' -X POST -d "$2" "$1/control")
	[ "${answer##* }" = 200 ] || fail "control $1 $2: $answer"
}

# Compares what was printed since begin with the file, and looks for sanitizer reports.
finish() {
	end_all
	exec >&3
	if grep -lE 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$WORK"/*.log >/dev/null 2>&1; then
		grep -hE -A 15 'ERROR: (Address|Leak)Sanitizer|runtime error:' "$WORK"/*.log >&2
		fail "a program reported a memory error"
	fi
	diff -u "$1" "$WORK/out" >&2 || fail "the output differs from $1"
	echo "as expected: $1"
}
