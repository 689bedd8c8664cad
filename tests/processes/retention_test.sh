#!/usr/bin/env bash
# Guards against a configuration or fleet state that is lost when the log's retention removes the records from which it was built.
set -uo pipefail
cluster_extra_settings='"snapshotIntervalMinutes": 1,'
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 21
start_deployment
check "a host is drained" client drain host lathe-03

head_of() { curl --silent "http://$(cluster_log_address)/v1/streams" | grep -o "\"$1\":{[^}]*}" | grep -o '"head":[0-9]*' | cut -d: -f2; }
trim_to_last() { curl --silent --fail -X PUT -d "{\"stream\": \"$1\", \"before\": $(($2 - 1))}" "http://$(cluster_log_address)/v1/trim" >/dev/null; }
ends_with_snapshot() { grep -qh "$1: snapshot written offset=$(($(head_of "$2") - 1))" "$cluster_dir"/entry-*.log; }
wait_for_snapshots() {
    local attempt
    for attempt in $(seq 90); do
        ends_with_snapshot config config && ends_with_snapshot fleet fleet && return 0
        sleep 1
    done
    return 1
}

check "both streams end with a snapshot" wait_for_snapshots
config_head=$(head_of config) fleet_head=$(head_of fleet)
check "all older configuration records are removed" trim_to_last config "$config_head"
check "all older fleet records are removed" trim_to_last fleet "$fleet_head"

# All entry hosts are killed first, so that no peer is left that could hand over its state.
for number in $(seq "$cluster_entry_count"); do
    cluster_kill "entry-$number"
done
for number in $(seq "$cluster_entry_count"); do
    cluster_launch_entry "$number"
done
for number in $(seq "$cluster_entry_count"); do
    check "entry-$number serves from the snapshots" wait_until_serving "$number"
done
client --json status >"$cluster_dir/status.json"
check "the revision is still in force everywhere" is_equal "$(grep -c '"revision": 1' "$cluster_dir/status.json")" "$((cluster_entry_count + 2))"
check "the host is still drained" grep -q '"subject": "lathe-03"' "$cluster_dir/status.json"
check "every process still runs" all_processes_running
