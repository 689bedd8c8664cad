#!/usr/bin/env bash
# Guards against a job that runs twice, is lost or gets an untrue response when the log and entry hosts fail at the same time.
# The second argument is the seed for the random order of the faults.
set -uo pipefail
cluster_extra_settings='"dispatcherLostMilliseconds": 2000,'
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 22
seed=${2:-101}
echo "seed $seed"
RANDOM=$seed
start_deployment

no_log_faults='{"outage":false,"loseAnswers":0,"lateAppends":0,"duplicates":0,"staleReads":0}'
inject_random_fault() {
    local number=$((RANDOM % cluster_entry_count + 1))
    case $((RANDOM % 6)) in
    0) cluster_set_faults "$(cluster_log_address)" '{"outage":false,"loseAnswers":0.3,"lateAppends":0.2,"duplicates":0.2,"staleReads":0.3}' ;;
    1) cluster_set_faults "$(cluster_log_address)" '{"outage":true}' ;;
    2) cluster_set_faults "$(cluster_log_address)" "$no_log_faults" ;;
    3 | 4)
        cluster_kill "entry-$number"
        cluster_launch_entry "$number"
        ;;
    5)
        cluster_signal "entry-$number" STOP
        sleep 3
        cluster_signal "entry-$number" CONT
        ;;
    esac
}

common=(--seconds 26 --retry immediate --attempts 60 --connections 1500 --time-limit-milliseconds 3000)
start_load single /lathe/paths --rate 150 --seed "$seed" --keys repeat:0.4 --run-milliseconds 150 "${common[@]}"
start_load idempotent /fitting/pressure-maps --rate 100 --seed "$((seed + 1000))" --idempotent --run-milliseconds 50 "${common[@]}"
end=$((SECONDS + 24))
while [ "$SECONDS" -lt "$end" ]; do
    inject_random_fault
    sleep 0.7
done
check "the log's faults are cleared" cluster_set_faults "$(cluster_log_address)" "$no_log_faults"

check "non-idempotent jobs: the oracle finds nothing wrong" finish_load single
check "no non-idempotent job is refused with unknown_route" is_equal "$(load_count unknown_route)" 0
check "idempotent jobs: the oracle finds nothing wrong" finish_load idempotent
check "every idempotent job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"

for number in $(seq "$cluster_entry_count"); do
    check "entry-$number serves after the faults" wait_until_serving "$number"
done
start_load afterwards /lathe/paths --rate 100 --seconds 2 --seed "$((seed + 2000))"
check "after the faults: the oracle finds nothing wrong" finish_load afterwards
check "after the faults every job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
check "every process still runs" all_processes_running
