#!/usr/bin/env bash
# Guards against a load tool whose oracle misses a violation: each kind is produced by stand-in endpoints and must be reported.
set -euo pipefail
build=${1:?build folder}

# A random loopback address of its own lets concurrent runs use the same ports; all of 127.0.0.0/8 is loopback.
ip="127.$((RANDOM % 250 + 1)).$((RANDOM % 250 + 1)).1"
work=$(mktemp -d)
"$build/standin-endpoint" --listen "$ip:21001" --count 3 --run-milliseconds 2 2>"$work/endpoint.log" &
endpoint=$!
trap 'kill "$endpoint" 2>/dev/null || true; wait "$endpoint" 2>/dev/null || true; rm -rf "$work"' EXIT
for _ in $(seq 100); do
    grep -q listening "$work/endpoint.log" && break
    sleep 0.05
done

fail() {
    echo "FAILED: $1" >&2
    cat "$work/out" >&2
    exit 1
}

# set_faults PORT JSON sets the faults that a stand-in endpoint injects.
set_faults() {
    curl -sf -X PUT -d "$2" "http://$ip:$1/v1/faults" >/dev/null
}

# expect EXIT_STATUS REGEX DESCRIPTION OPTIONS... runs the load tool and checks its exit status and output.
expect() {
    local status=0
    "$build/parsleyglade-load" --rate 200 --seconds 1 --run-milliseconds 2 --json "${@:4}" >"$work/out" 2>&1 || status=$?
    [ "$status" -eq "$1" ] || fail "$3: exit status $status"
    grep -qE "$2" "$work/out" || fail "$3: the output does not match $2"
}

one="$ip:21001"
expect 0 '"executedTwice":0,"completedNotExecuted":0,"notRunExecuted":0' "clean run" --target "$one" --target "$ip:21002" --oracle "$ip:21001,3"
expect 0 '"foreignBodies":0' "clean run without keys" --target "$one" --keys none --long-share 0.1 --long-run-milliseconds 20
expect 1 '"executedTwice":[1-9]' "repeated keys at an endpoint that does not deduplicate" --target "$one" --keys repeat:0.5 --oracle "$one"
expect 0 '"executedTwice":0' "the same for an idempotent route" --target "$one" --keys repeat:0.5 --oracle "$one" --idempotent
expect 1 '"completedNotExecuted":[1-9]' "executions counted at another endpoint" --target "$one" --oracle "$ip:21003"
expect 1 '"unreachableEndpoints":1' "oracle over an endpoint that does not report its counts" --target "$one" --oracle "$ip:21003,2"

set_faults 21002 '{"otherRequestIds":0.1}'
expect 1 '"foreignBodies":[1-9]' "responses to another request" --target "$ip:21002" --oracle "$ip:21001,3"
set_faults 21002 '{"otherRequestIds":0,"cutAnswers":0.5}'
expect 0 '"no-answer":[1-9]' "short answers count as no answer" --target "$ip:21002" --oracle "$ip:21001,3"
expect 1 '"executedTwice":[1-9]' "retries after short answers" --target "$ip:21002" --oracle "$ip:21001,3" --retry immediate
set_faults 21002 '{"refuse":0.5}'
expect 1 '"notRunExecuted":[1-9]' "a job refused after it was executed" --target "$ip:21002" --oracle "$ip:21001,3" --retry immediate --attempts 2 --idempotent
set_faults 21002 '{"cutAnswers":0}'
expect 0 '"attemptCodes":\{"http-200":[0-9]+,"http-503":[1-9]' "retries that honour Retry-After" --target "$ip:21002" --oracle "$ip:21001,3" --retry honour

expect 2 'loopback' "a target that is not on loopback" --target 192.0.2.1:80
expect 0 '"open":20,"lost":0' "held connections" --target "$one" --connections 20 --hold
expect 1 '"lost":20' "held connections to a closed port" --target "$ip:20999" --connections 20 --hold
echo passed
