#!/usr/bin/env bash
# Guards against a planned stop of an entry host that aborts a request in flight, loses a job or ends with an error.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" austral-pistas 28
start_deployment

# Each request lasts about 300 ms, so that several are in flight at each stop.
start_load single /floods/plans --rate 100 --seconds 30 --seed 41 --keys repeat:0.1 --retry immediate --attempts 50 --run-milliseconds 300 --connections 600
start_load idempotent /floods/estimates --rate 100 --seconds 30 --seed 42 --idempotent --retry immediate --attempts 50 --run-milliseconds 300 \
    --connections 600

# long_job <entry host number> <key>: a job of 1 s, sent to an entry host just before its stop.
long_job() {
    cluster_send_job "$1" /floods/plans -X POST -H "Idempotency-Key: $2" -H "Job-Run-Milliseconds: 1000" -d "in flight" \
        -D "$cluster_dir/headers-$1" -o /dev/null
}

sleep 1
for number in $(seq "$cluster_entry_count"); do
    long_job "$number" "$(cluster_new_key)" &
    job=$!
    sleep 0.3
    cluster_signal "entry-$number" TERM
    status=0
    wait "${cluster_pids[entry-$number]}" || status=$?
    check "entry-$number ends with 0" is_equal "$status" 0
    check "the job in flight at entry-$number gets its response" wait "$job"
    check "that job is completed" grep -q '^Job-State: completed' "$cluster_dir/headers-$number"
    cluster_launch_entry "$number"
    require "entry-$number serves again" wait_until_serving "$number"
done

check "non-idempotent jobs: the oracle finds nothing wrong" finish_load single
check "every non-idempotent job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
check "no non-idempotent request is cut off" is_equal "$(load_count no-answer)" 0
check "idempotent jobs: the oracle finds nothing wrong" finish_load idempotent
check "every idempotent job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
check "no idempotent request is cut off" is_equal "$(load_count no-answer)" 0
check "every process still runs" all_processes_running
