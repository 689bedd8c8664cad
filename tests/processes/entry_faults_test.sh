#!/usr/bin/env bash
# Guards against a job that runs twice, is lost or gets an untrue response when entry hosts are killed, replaced or frozen under load with immediate
# retries.
set -uo pipefail
# An entry host is frozen for 6 s. This has to exceed every timeout after which the others give up waiting for it, so this one is shortened from
# 60 s.
cluster_extra_settings='"dispatcherLostMilliseconds": 2000,'
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 24
start_deployment

common=(--seconds 16 --keys repeat:0.3 --retry immediate --attempts 40 --run-milliseconds 100 --connections 600 --time-limit-milliseconds 8000)
start_load single /lathe/paths --rate 150 --seed 11 "${common[@]}"
start_load idempotent /fitting/pressure-maps --rate 100 --seed 12 --idempotent "${common[@]}"

# The faults are injected into the coordinators of the claim streams because they have the most state.
first=$(coordinator_of claims-0 1)
sleep 2
cluster_kill "entry-$first"
sleep 2
cluster_launch_entry "$first"
require "the new process of entry-$first serves" wait_until_serving "$first"

frozen=$(coordinator_of claims-1 2)
[ "$frozen" = "$first" ] && frozen=$((first % cluster_entry_count + 1))
cluster_signal "entry-$frozen" STOP
sleep 6
cluster_signal "entry-$frozen" CONT
check "entry-$frozen serves after it was frozen" wait_until_serving "$frozen"

check "non-idempotent jobs: the oracle finds nothing wrong" finish_load single
check "no non-idempotent job is refused with unknown_route" is_equal "$(load_count unknown_route)" 0
check "most non-idempotent jobs are completed" at_least "$(load_count completed)" 1800
check "idempotent jobs: the oracle finds nothing wrong" finish_load idempotent
check "no idempotent job is refused with unknown_route" is_equal "$(load_count unknown_route)" 0
check "most idempotent jobs are completed" at_least "$(load_count completed)" 1400

start_load afterwards /lathe/paths --rate 100 --seconds 2 --seed 13
check "after the faults: the oracle finds nothing wrong" finish_load afterwards
check "after the faults every job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
check "every process still runs" all_processes_running
