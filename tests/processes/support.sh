# Functions shared by the process tests. Usage: source support.sh <build folder> <deployment> <two-digit port prefix>
# Failed checks are counted. At the end of a test every process that it started is stopped by its id; the exit status is 1 if a check failed.

# A random loopback address of its own lets concurrent runs use the same ports; all of 127.0.0.0/8 is loopback.
cluster_ip="127.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1)).1"
source "$(dirname "${BASH_SOURCE[0]}")/../../scripts/lib/cluster.sh"
export PARSLEYGLADE_TOKEN=$cluster_operator_token
test_failures=0

finish_test() {
    cluster_stop
    if [ "$test_failures" -eq 0 ]; then
        rm -rf "$cluster_dir"
        echo "passed in $SECONDS s"
        exit 0
    fi
    echo "FAILED: $test_failures checks in $SECONDS s; logs are in $cluster_dir"
    exit 1
}

# check <what> <command...>: runs a command and counts it as a failed check if it fails.
check() {
    local what=$1
    shift
    if "$@"; then
        echo "ok: $what"
    else
        echo "FAILED: $what"
        test_failures=$((test_failures + 1))
    fi
}

# require <what> <command...>: like check, but ends the test on failure.
require() {
    local before=$test_failures
    check "$@"
    [ "$test_failures" -eq "$before" ] || exit 1
}

is_equal() { [ "$1" = "$2" ] || { echo "expected '$2', got '$1'"; return 1; }; }
at_most() { [ "$1" -le "$2" ] || { echo "expected at most $2, got $1"; return 1; }; }
at_least() { [ "$1" -ge "$2" ] || { echo "expected at least $2, got $1"; return 1; }; }

client() { "$cluster_build/parsleyglade" --admin "$(cluster_admin_address "${client_entry:-1}")" "$@"; }

# Succeeds if an entry host reports endpoints of its data centre that accept work. /readyz is not enough: it succeeds before the entry host has
# registered.
entry_is_serving() { client_entry=$1 client --json status | grep -q '"state": "serving"'; }
wait_until_serving() { cluster_wait_until "entry-$1 serves" entry_is_serving "$1"; }

# Succeeds if every process that the test started still runs. A process whose port is already in use has ended.
all_processes_running() { kill -0 "${cluster_pids[@]}"; }

# Starts the deployment, publishes its tables and waits until every entry host serves jobs.
start_deployment() {
    local number
    require "the processes start" cluster_start
    require "no port is in use by another run" all_processes_running
    require "the example tables are published" cluster_publish_examples
    for number in $(seq "$cluster_entry_count"); do
        require "entry-$number serves" wait_until_serving "$number"
    done
}

# coordinator_of <stream> <entry host number>: the number of the coordinator that this entry host last selected for the stream.
coordinator_of() {
    grep -oE "coordinator selected stream=$1 entry_host=entry-[0-9]+" "$cluster_dir/entry-$2.log" | tail -1 | grep -oE '[0-9]+$'
}

# start_load <name> <route> <options...>: sends load to the entry hosts in load_targets (default: all); the oracle covers all endpoints.
start_load() {
    local name=$1 route=$2 number targets=()
    shift 2
    for number in ${load_targets:-$(seq "$cluster_entry_count")}; do
        targets+=(--target "$(cluster_caller_address "$number")")
    done
    : >"$cluster_dir/load-$name.log"
    cluster_launch "load-$name" "$cluster_build/parsleyglade-load" "${targets[@]}" --route "$route" --token "$cluster_caller_token" \
        --oracle "$(cluster_endpoints)" --json "$@"
}

# finish_load <name>: waits until the load tool ends, prints its result and returns its exit status.
finish_load() {
    local status=0
    wait "${cluster_pids[load-$1]}" || status=$?
    unset "cluster_pids[load-$1]"
    load_output=$(cat "$cluster_dir/load-$1.log")
    echo "load $1: $load_output"
    return "$status"
}

# load_count <key>: the number that the last load's result has for a key, or 0 if the key is missing.
load_count() {
    local number
    number=$(grep -oE "\"$1\": *[0-9]+" <<<"$load_output" | head -1 | grep -oE '[0-9]+$')
    echo "${number:-0}"
}

# sum_over_endpoints <count> [key]: the sum of a count over all endpoints, read from what follows the key in each JSON document (default: host).
sum_over_endpoints() {
    local index sum=0 value
    for index in $(seq "$cluster_endpoint_count"); do
        value=$(curl --silent --max-time 5 "http://$cluster_ip:$((cluster_prefix * 1000 + index))/v1/executions" | sed "s/.*\"${2:-host}\"//" |
            grep -oE "\"$1\": *[0-9]+" | head -1 | grep -oE '[0-9]+$')
        sum=$((sum + ${value:-0}))
    done
    echo "$sum"
}

trap finish_test EXIT
cluster_prepare "${1:?build folder}" "$2" "$3"
