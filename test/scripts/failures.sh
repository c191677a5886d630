#!/bin/bash
# Under load: owners of keys are killed and paused, brokers are killed and paused, the table service
# is down, and a router stops as planned. Guards against a non-idempotent request that runs twice, a
# "not run" for a request that ran, two owners of a key at a time, an answer that reaches another
# request, and a planned stop that interrupts requests (P8, P7, P1, P6, P10).
# shellcheck source=test/scripts/deployment.sh
# mutants: entry_runs_anywhere
. "$(dirname "$0")/deployment.sh"
begin_deployment 91 3

run() {
	local broker
	start_load lookups 14 --path /history/x --rate 100 --keys 300 --request-ids --idempotent --seed 3
	start_load orders 14 --path /orders/new --method POST --body-bytes 300 --rate 40 --request-ids --repeat-percent 10 --seed 4
	sleep 1
	echo "kill an owner of keys"
	cluster_end history-meseta-1 KILL
	sleep 2
	echo "kill the broker of history"
	broker=$(broker_of pacifico history)
	# pacifico-1 must stay up, since broker_of asks it.
	if [ "$broker" = pacifico-1 ]; then broker=$(broker_of pacifico orders); fi
	[ "$broker" = pacifico-1 ] || cluster_end "$broker" KILL
	sleep 2
	echo "pause an owner of keys, then resume it"
	cluster_signal history-pacifico-1 STOP
	sleep 2
	cluster_signal history-pacifico-1 CONT
	echo "table service down; pause the broker of orders"
	cluster_fault "$(cluster_ip 0 1):7001" '{"down":true}'
	broker=$(broker_of meseta orders)
	cluster_signal "$broker" STOP
	sleep 2
	cluster_signal "$broker" CONT
	cluster_fault "$(cluster_ip 0 1):7001" '{"down":false}'
	sleep 1
	echo "planned stop of a router"
	cluster_end meseta-3 TERM
	echo "exit code $?"
	finish_load lookups history-
	finish_load orders orders-
}

compare_output test/scripts/failures.expected run
