#!/usr/bin/env bash
# Guards against idempotent jobs that stop, and non-idempotent jobs that run twice or get an untrue response, while the log fails.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 25
start_deployment

# run_fault_phase <name> <faults of the log> <faults off>: sends idempotent and non-idempotent jobs for 4 s during the fault, checked by the oracle.
seed=20
run_fault_phase() {
    seed=$((seed + 2))
    check "$1: the fault is set" cluster_set_faults "$(cluster_log_address)" "$2"
    start_load "$1" /lathe/paths --rate 100 --seconds 4 --seed "$seed" --keys repeat:0.2 --retry immediate \
        --attempts 3 --connections 600 --time-limit-milliseconds 6000
    start_load "$1-idempotent" /fitting/pressure-maps --rate 100 --seconds 4 --seed "$((seed + 1))" --idempotent
    check "$1: the oracle finds nothing wrong" finish_load "$1"
    phase_completed=$(load_count completed)
    check "$1: idempotent jobs: the oracle finds nothing wrong" finish_load "$1-idempotent"
    check "$1: every idempotent job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
    check "$1: the fault is cleared" cluster_set_faults "$(cluster_log_address)" "$3"
    check "$1: every process still runs" all_processes_running
}

# check_all_completed <name> <seed>: checks that every job is completed; run before and after the faults.
check_all_completed() {
    start_load "$1" /lathe/paths --rate 100 --seconds 2 --seed "$2"
    check "$1: the oracle finds nothing wrong" finish_load "$1"
    check "$1: every job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
}
log_is_reachable() { ! client --json status | grep -q '"logReachable": false'; }

check_all_completed before 20
run_fault_phase outage '{"outage":true}' '{"outage":false}'
check "outage: no non-idempotent job is completed" is_equal "$phase_completed" 0
require "every entry host can reach the log again" cluster_wait_until "log reachable" log_is_reachable
run_fault_phase slow '{"latencyMilliseconds":200}' '{"latencyMilliseconds":5}'
check "slow log: most non-idempotent jobs are completed" at_least "$phase_completed" 300
run_fault_phase lost-answers '{"loseAnswers":0.3}' '{"loseAnswers":0}'
check "lost answers: most non-idempotent jobs are completed" at_least "$phase_completed" 300
run_fault_phase late-appends '{"lateAppends":0.3}' '{"lateAppends":0}'
run_fault_phase copies '{"duplicates":0.3,"staleReads":0.3}' '{"duplicates":0,"staleReads":0}'
# A late append or copy takes effect up to 2 s after its call.
sleep 2
require "every entry host can reach the log after the faults" cluster_wait_until "log reachable" log_is_reachable
check_all_completed after 40
