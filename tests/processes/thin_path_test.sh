#!/usr/bin/env bash
# Guards against a job that runs twice, gets the wrong response or is confused with another caller's job of the same key, and against entry hosts that
# disagree on a published revision.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 23

# send <entry host number> <path> <key> <body> [token]: sends a job and writes the response body to answer-<n> and the headers to headers-<n>.
send() {
    local token=${5:-$cluster_caller_token}
    curl --silent --show-error --max-time 20 -H "Authorization: Bearer $token" -X POST -H "Idempotency-Key: $3" --data-binary "$4" \
        -D "$cluster_dir/headers-$1" -o "$cluster_dir/answer-$1" "http://$(cluster_caller_address "$1")$2"
}
is_completed() { grep -q '^Job-State: completed' "$cluster_dir/headers-$1"; }
has_body() { is_equal "$(tail -n +2 "$cluster_dir/answer-$1")" "$2"; }
executions() { sum_over_endpoints "$1" executions; }

# check_deployment <path of an idempotent route> <path of a non-idempotent route>
check_deployment() {
    local idempotent=$1 single=$2 key number senders
    start_deployment

    key=$(cluster_new_key)
    check "an idempotent job is sent" send 1 "$idempotent" "$key" "measure left foot"
    check "it is completed" is_completed 1
    check "its response is complete" has_body 1 "measure left foot"

    key=$(cluster_new_key)
    senders=()
    for number in 2 4 7; do
        send "$number" "$single" "$key" "one job at three entry hosts" &
        senders+=($!)
    done
    wait "${senders[@]}"
    for number in 2 4 7; do
        check "the job is completed at entry-$number" is_completed "$number"
        check "entry-$number returns the complete response" cmp "$cluster_dir/answer-2" "$cluster_dir/answer-$number"
    done
    check "the response belongs to the request" has_body 2 "one job at three entry hosts"
    check "the job ran once" is_equal "$(executions "$key")" 1

    check "a repeat is sent later" send 5 "$single" "$key" "one job at three entry hosts"
    check "the repeat is completed" is_completed 5
    check "the repeat gets the same response" cmp "$cluster_dir/answer-2" "$cluster_dir/answer-5"
    check "the job still ran once" is_equal "$(executions "$key")" 1

    check "another caller sends a job with the same key" send 3 "$single" "$key" "the other caller's job" "$cluster_other_caller_token"
    check "the other caller's job is completed" is_completed 3
    check "the other caller gets its own response" has_body 3 "the other caller's job"
    check "both callers' jobs ran" is_equal "$(executions "$key")" 2

    check "the status is received" client --json status >"$cluster_dir/status.json"
    check "all entry hosts were queried" is_equal "$(grep -c '"asked": true' "$cluster_dir/status.json")" "$cluster_entry_count"
    check "all have the revision" at_least "$(grep -c '"revision": 1' "$cluster_dir/status.json")" "$cluster_entry_count"
    check "all have the same digest" is_equal "$(grep -oE '"digest": "[0-9a-f]{64}"' "$cluster_dir/status.json" | sort -u | wc -l)" 1
    cluster_stop
}

check_deployment /scans/preview /lathe/paths
rm -rf "$cluster_dir"
cluster_prepare "$1" austral-pistas 23
check_deployment /floods/estimates /floods/plans
