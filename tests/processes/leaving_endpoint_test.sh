#!/usr/bin/env bash
# Guards against new jobs at an endpoint more than 3 s after it began to leave, by its own report or by a drain, and against jobs lost because of that.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 27
start_deployment

endpoint_address() { grep "\"host\": \"$1\"" "$cluster_dir/pools.json" | grep -oE '127\.[0-9.]+:[0-9]+'; }
rack_hosts() { grep "\"rack\": \"$1\"" "$cluster_dir/pools.json" | grep -oE '"host": "[^"]*"' | cut -d'"' -f4; }
executions_of() { curl --silent --max-time 5 "http://$(endpoint_address "$1")/v1/executions"; }
received_count() { executions_of "$1" | grep -oE '"received": *[0-9]+' | head -1 | grep -oE '[0-9]+$'; }
started_count() { executions_of "$1" | grep -oE '"started": *[0-9]+' | grep -oE '[0-9]+$'; }
is_drained() { client --json status | tr -d ' \n' | grep -oE "\{[^{}]*\"host\":\"$1\"[^{}]*\}" | grep -qE '"state":"(drained|leaving|draining)"'; }

# Time in ms at which the stand-in last received a job; it counts from the moment that it was set to leaving. 0 if it has received none since.
latest_work_milliseconds() { executions_of "$1" | sed 's/.*"leaving"//' | grep -oE '"latestMilliseconds": *[0-9]+' | grep -oE '[0-9]+$'; }
# Prints the count of started jobs of each host. An endpoint isn't notified of its drain, so the test checks that this count doesn't rise from
# 3 s after the drain on.
print_started_counts() {
    local host
    for host in "$@"; do
        echo "$host $(started_count "$host")"
    done
}

start_load single /lathe/paths --rate 150 --seconds 27 --seed 31 --keys repeat:0.1 --retry honour --run-milliseconds 50
start_load idempotent /lathe/simulations --rate 150 --seconds 27 --seed 32 --idempotent --retry honour --run-milliseconds 50
sleep 2

check "lathe-01 starts jobs before it leaves" at_least "$(started_count lathe-01)" 1
check "lathe-01 is set to leaving" cluster_set_faults "$(endpoint_address lathe-01)" '{"leave":true}'
check "lathe-02 is drained by the client" client drain host lathe-02 --author test --reason "leaving endpoint test"
rack=$(grep '"host": "lathe-03"' "$cluster_dir/pools.json" | grep -oE '"rack": "[^"]*"' | cut -d'"' -f4)
mapfile -t drained < <(rack_hosts "$rack")
check "rack $rack is drained by the client" client drain rack "$rack" --author test --reason "leaving endpoint test"
sleep 3
print_started_counts lathe-02 "${drained[@]}" >"$cluster_dir/starts-before"
sleep 6
print_started_counts lathe-02 "${drained[@]}" >"$cluster_dir/starts-after"
check "every drained host reports its count" is_equal "$(grep -cE ' [0-9]+$' "$cluster_dir/starts-after")" "$((${#drained[@]} + 1))"
check "drained hosts start no work later than 3 s after the drain" diff "$cluster_dir/starts-before" "$cluster_dir/starts-after"
latest=$(latest_work_milliseconds lathe-01)
echo "the leaving endpoint received its last job ${latest:-0} ms after it was set to leaving"
check "the leaving endpoint receives no jobs after 3 s" at_most "${latest:-0}" 3000
check "the status lists the drained host" is_drained lathe-02

check "lathe-02 is undrained" client undrain host lathe-02
check "rack $rack is undrained" client undrain rack "$rack"
check "lathe-01 is no longer set to leaving" cluster_set_faults "$(endpoint_address lathe-01)" '{"leave":false}'
sleep 4
print_started_counts lathe-01 lathe-02 lathe-03 >"$cluster_dir/starts-before"
sleep 3
while read -r host before; do
    check "$host starts jobs again" at_least "$(started_count "$host")" "$((before + 1))"
done <"$cluster_dir/starts-before"

check "non-idempotent jobs: the oracle finds nothing wrong" finish_load single
check "no non-idempotent job is lost" is_equal "$(load_count completed)" "$(load_count jobs)"
check "idempotent jobs: the oracle finds nothing wrong" finish_load idempotent
check "no idempotent job is lost" is_equal "$(load_count completed)" "$(load_count jobs)"
