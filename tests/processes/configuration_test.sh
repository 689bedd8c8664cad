#!/usr/bin/env bash
# Guards against an invalid revision that is accepted, a revision that is overwritten by a concurrent publication or goes backwards, and a revision
# that takes over 1 s to be in force everywhere.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 20
start_deployment

# write_edited_routes <file> <deadline of the first route>: writes the example routes with this deadline, in ms.
write_edited_routes() { sed "0,/\"deadlineMilliseconds\": [0-9]*/s//\"deadlineMilliseconds\": $2/" "$cluster_dir/routes.json" >"$cluster_dir/$1"; }
# publish_at <entry host number> <routes file> <base revision> [options]
publish_at() { client_entry=$1 client publish "$cluster_dir/$2" "$cluster_dir/pools.json" --base-revision "$3" --author test "${@:4}"; }
revision_of() { cluster_admin_request "$1" /v1/tables | grep -oE '"revision": *[0-9]+' | grep -oE '[0-9]+$'; }
has_revision() { [ "$(revision_of "$1")" = "$2" ]; }
all_have_revision() {
    local number
    for number in $(seq "$cluster_entry_count"); do
        has_revision "$number" "$1" || return 1
    done
}

echo "-- two operators publish with the same base revision at once"
write_edited_routes first.json 11000
write_edited_routes second.json 12000
publish_at 2 first.json 1 >"$cluster_dir/first.out" 2>&1 &
first=$!
publish_at 5 second.json 1 >"$cluster_dir/second.out" 2>&1 &
second=$!
first_status=0 second_status=0
wait "$first" || first_status=$?
wait "$second" || second_status=$?
check "one publication is accepted, the other ends with exit code 4" is_equal "$(printf '%s\n' "$first_status" "$second_status" | sort | paste -sd' ')" "0 4"
rejected=first
[ "$second_status" -eq 4 ] && rejected=second
check "the rejected publication prints the reason" grep -q 'revision_conflict (112)' "$cluster_dir/$rejected.out"
check "the rejected publication prints the difference" grep -q 'changed route scan-upload' "$cluster_dir/$rejected.out"
check "revision 2 is in force everywhere" cluster_wait_until "revision 2" all_have_revision 2

echo "-- invalid tables"
# expect_rejection <pointers>: checks that wrong.json is rejected by the client and, when it is sent without the client's own validation, by an entry host.
expect_rejection() {
    local pointer
    publish_at 1 wrong.json 2 >"$cluster_dir/wrong.out" 2>&1
    check "the client rejects the table with exit code 1" is_equal "$?" 1
    echo "{\"request\": $RANDOM, \"baseRevision\": 2, \"routes\": $(cat "$cluster_dir/wrong.json"), \"pools\": $(cat "$cluster_dir/pools.json")," \
        "\"author\": \"test\", \"note\": \"\"}" >"$cluster_dir/wrong-request.json"
    cluster_admin_request 3 /v1/publish -X POST --data-binary "@$cluster_dir/wrong-request.json" >"$cluster_dir/wrong-answer.out" 2>&1
    for pointer in "$@"; do
        check "the client points at $pointer" grep -q "^$pointer: " "$cluster_dir/wrong.out"
        check "an entry host points at $pointer" grep -q "\"pointer\": *\"$pointer\"" "$cluster_dir/wrong-answer.out"
    done
}
sed '0,/"pool": "scan-intake"/s//"pool": "mill"/' "$cluster_dir/routes.json" >"$cluster_dir/wrong.json"
expect_rejection /routes/0/pool
sed '0,/"urgency": "urgent"/s//"urgency": "soon"/' "$cluster_dir/routes.json" >"$cluster_dir/wrong.json"
expect_rejection /routes/0/urgency
# All errors are reported in one response, those within a table as well as those between tables.
sed -i '0,/"pool": "scan-intake"/s//"pool": "mill"/' "$cluster_dir/wrong.json"
expect_rejection /routes/0/pool /routes/0/urgency
check "no entry host changes its revision" all_have_revision 2

echo "-- 30 publications under load"
start_load publications /fitting/pressure-maps --rate 100 --seconds 12 --seed 51 --idempotent
milliseconds_of_day() { awk -F: '{printf "%d\n", ($1 * 3600 + $2 * 60 + $3) * 1000}'; }
in_force_lines() { grep -h "configuration in force revision=$1 " "$cluster_dir"/entry-?.log; }
in_force_everywhere() { [ "$(in_force_lines "$1" | wc -l)" -eq "$cluster_entry_count" ]; }
for revision in $(seq 3 32); do
    write_edited_routes next.json "$((10000 + revision))"
    start=$(date +%T.%6N | milliseconds_of_day)
    publish_at "$((revision % cluster_entry_count + 1))" next.json "$((revision - 1))" >"$cluster_dir/publish.out" 2>&1 ||
        check "revision $revision is published: $(cat "$cluster_dir/publish.out")" false
    cluster_wait_until "revision $revision in force" in_force_everywhere "$revision" || check "revision $revision is in force everywhere" false
    # Every entry host logs the time at which a revision came into force.
    last=$(in_force_lines "$revision" | sed -E 's/^[^T]*T([0-9:.]+) .*/\1/' | sort | tail -1 | milliseconds_of_day)
    echo $((last - start))
done | tee "$cluster_dir/publications" | grep -vE '^[0-9]+$'
# Checks in the pipeline run in a subshell and don't reach the failure count, so their failures are counted here.
check "all 30 were published and are in force" is_equal "$(grep -cE '^[0-9]+$' "$cluster_dir/publications")-$(grep -c FAILED "$cluster_dir/publications")" 30-0
sort -n "$cluster_dir/publications" >"$cluster_dir/sorted"
p99=$(sed -n 30p "$cluster_dir/sorted")
p50=$(sed -n 15p "$cluster_dir/sorted")
echo "from the start of the client to in force at all $cluster_entry_count entry hosts: p50 $p50 ms, p99 and maximum of 30: $p99 ms"
check "p99 is at most 1 s" at_most "$p99" 1000
check "load during the publications: the oracle finds nothing wrong" finish_load publications
check "every job was completed" is_equal "$(load_count completed)" "$(load_count jobs)"

echo "-- entry hosts start while the log is down and while its reads are stale"
cluster_kill entry-4
check "the log becomes unavailable" cluster_set_faults "$(cluster_log_address)" '{"outage":true}'
cluster_launch_entry 4
check "it receives revision 32 from its peers" cluster_wait_until "revision 32 at entry-4" has_revision 4 32
write_edited_routes refused.json 13000
check "publishing fails while the log is unavailable" is_equal "$(publish_at 1 refused.json 32 >/dev/null 2>&1; [ $? -ne 0 ] && echo refused)" refused
check "the log is available again, with stale reads" cluster_set_faults "$(cluster_log_address)" '{"outage":false,"staleReads":1}'
cluster_kill entry-6
cluster_launch_entry 6
check "a new entry host receives revision 32 despite stale reads" cluster_wait_until "revision 32 at entry-6" has_revision 6 32
for _ in $(seq 10); do
    sleep 0.2
    all_have_revision 32 || check "no revision goes backwards with a stale log" false
done
check "the log is up to date again" cluster_set_faults "$(cluster_log_address)" '{"staleReads":0}'
check "the next revision is published" publish_at 7 refused.json 32 --wait
check "it is in force everywhere" all_have_revision 33

echo "-- a job that ran is not reported as not-run after its route has changed"
key=$(cluster_new_key)
send_again() { cluster_send_job 2 /lathe/paths -X POST -H "Idempotency-Key: $key" -d "ran before the change" -D "$cluster_dir/headers" -o /dev/null; }
is_not_reported_as_not_run() { ! grep '^Job-State: not-run' "$cluster_dir/headers"; }
check "a job is sent" send_again
check "it ran" grep -q '^Job-State: completed' "$cluster_dir/headers"
sed '/"lathe-path"/s/"maximumBodyBytes": [0-9]*/"maximumBodyBytes": 5/' "$cluster_dir/routes.json" >"$cluster_dir/smaller.json"
check "a smaller body limit is published" publish_at 1 smaller.json 33 --wait
check "the job is sent again" send_again
check "it is not reported as not-run after the limit has changed" is_not_reported_as_not_run
sed 's|"path": "/lathe/paths"|"path": "/lathe/other-paths"|' "$cluster_dir/routes.json" >"$cluster_dir/moved.json"
check "another path is published" publish_at 1 moved.json 34 --wait
check "the job is sent again" send_again
check "it is not reported as not-run after the path has changed" is_not_reported_as_not_run
