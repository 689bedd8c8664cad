#!/usr/bin/env bash
# Guards against a data centre that stops completing idempotent jobs, runs a job twice or returns to an old revision when it is partitioned from the
# others and the log.
set -uo pipefail
cluster_extra_settings='"dispatcherLostMilliseconds": 2000,'
cluster_linked_data_centre=2
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 26
start_deployment
inside="3 7"

publish_deadline() {
    sed "0,/\"deadlineMilliseconds\": [0-9]*/s//\"deadlineMilliseconds\": $2/" "$cluster_dir/routes.json" >"$cluster_dir/next.json"
    client publish "$cluster_dir/next.json" "$cluster_dir/pools.json" --base-revision "$1" --author test
}
has_revision() { cluster_admin_request "$1" /v1/tables | grep -qE "\"revision\": *$2,|\"revision\": *$2}"; }
inside_has_revision() { has_revision 3 "$1" && has_revision 7 "$1"; }
# Succeeds if the revisions that each process logged as in force are strictly increasing.
revisions_increase() {
    local number
    for number in $(seq "$cluster_entry_count"); do
        grep -oE 'configuration in force revision=[0-9]+' "$cluster_dir/entry-$number.log" | cut -d= -f2 >"$cluster_dir/revisions-$number"
        sort -nuc "$cluster_dir/revisions-$number" || return 1
    done
}
heal_partition() {
    cluster_set_link_faults "" '{}' && cluster_set_faults "$cluster_ip:${cluster_prefix}902" '{"outage":false}'
}

# Load on both sides of the partition; repeated keys are sent to entry hosts on either side.
start_load single /lathe/paths --rate 100 --seconds 28 --seed 61 --keys repeat:0.3 --retry immediate --attempts 5 --run-milliseconds 50 --connections 1000 \
    --time-limit-milliseconds 8000
load_targets=$inside start_load inside /fitting/pressure-maps --rate 60 --seconds 28 --seed 62 --idempotent --connections 1000
load_targets="1 2 4 5 6" start_load outside /fitting/pressure-maps --rate 60 --seconds 28 --seed 63 --idempotent --connections 1000
sleep 2

echo "-- partition in both directions, host list down"
both='{"cutToTarget":true,"cutFromTarget":true}'
check "the data centre is partitioned" cluster_set_link_faults "" "$both"
check "its host list becomes unavailable" cluster_set_faults "$cluster_ip:${cluster_prefix}902" '{"outage":true}'
sleep 1
check "revision 2 is published during the partition" publish_deadline 1 11000
sleep 4
check "the data centre keeps revision 1" inside_has_revision 1
check "the partition ends" heal_partition
check "revision 2 is in force there" cluster_wait_until "revision 2 inside" inside_has_revision 2
sleep 1

echo "-- partition in one direction: nothing sent from the data centre arrives"
check "links to the others hold back what the data centre sends" cluster_set_link_faults out '{"cutToTarget":true}'
check "links from the others hold back its responses" cluster_set_link_faults in '{"cutFromTarget":true}'
check "the link to the log holds back what the data centre sends" cluster_set_link_faults log '{"cutToTarget":true}'
sleep 1
check "revision 3 is published during the partition" publish_deadline 2 12000
sleep 4
check "the partition ends" heal_partition
check "revision 3 is in force there" cluster_wait_until "revision 3 inside" inside_has_revision 3
sleep 1

echo "-- partition from the log only"
check "the link to the log is partitioned" cluster_set_link_faults log "$both"
sleep 1
check "revision 4 is published during the partition" publish_deadline 3 13000
check "the data centre receives revision 4 from its peers" cluster_wait_until "revision 4 inside" inside_has_revision 4
sleep 3
check "the partition ends" heal_partition

check "non-idempotent jobs: the oracle finds nothing wrong" finish_load single
check "idempotent jobs in the data centre: the oracle finds nothing wrong" finish_load inside
check "idempotent work continues in the data centre" is_equal "$(load_count completed)" "$(load_count jobs)"
check "idempotent jobs elsewhere: the oracle finds nothing wrong" finish_load outside
check "idempotent work continues elsewhere" is_equal "$(load_count completed)" "$(load_count jobs)"
check "no revision went backwards" revisions_increase
start_load afterwards /lathe/paths --rate 100 --seconds 2 --seed 64
check "after the partitions: the oracle finds nothing wrong" finish_load afterwards
check "after the partitions every job is completed" is_equal "$(load_count completed)" "$(load_count jobs)"
check "every process still runs" all_processes_running

echo "-- an entry host that starts while partitioned has no configuration and no record of earlier jobs"
key=$(cluster_new_key)
send_again() { cluster_send_job 3 /lathe/paths -X POST -H "Idempotency-Key: $key" -d "run before the cut" -D "$cluster_dir/headers" -o "$cluster_dir/answer"; }
check "a job is sent" send_again
check "it ran" grep -q '^Job-State: completed' "$cluster_dir/headers"
cluster_kill entry-3
cluster_kill entry-7
check "the data centre is partitioned" cluster_set_link_faults "" "$both"
check "its host list becomes unavailable" cluster_set_faults "$cluster_ip:${cluster_prefix}902" '{"outage":true}'
cluster_launch_entry 3
require "the new process of entry-3 is up" cluster_wait_until "entry-3 is up" cluster_admin_request 3 /healthz
check "the job is sent again" send_again
tr -d '\r' <"$cluster_dir/headers"
check "it is not reported as not-run" is_equal "$(grep -c '^Job-State: not-run' "$cluster_dir/headers")" 0
check "the response asks the caller to retry" grep -q '^Retry-After:' "$cluster_dir/headers"
