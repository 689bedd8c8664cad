#!/usr/bin/env bash
# Guards against exit codes of the operators' client that differ from its help, for commands that work without a server.
set -uo pipefail
client=${1:?build folder}/parsleyglade
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
failed=0

expect() {
    local code=$1
    shift
    "$client" "$@" >"$folder/out" 2>"$folder/err" </dev/null
    local actual=$?
    if [ "$actual" -ne "$code" ]; then
        echo "parsleyglade $*: exit code $actual instead of $code" >&2
        cat "$folder/out" "$folder/err" >&2
        failed=1
    fi
}
expect_text() {
    if ! grep -q -- "$1" "$folder/out" "$folder/err"; then
        echo "missing in the output: $1" >&2
        failed=1
    fi
}

routes=examples/hung-phat/routes.json
pools=examples/hung-phat/pools.json
expect 0 --help
expect_text '8  result unknown'
expect 0 --version
for command in validate publish show diff status drain undrain maintenance "maintenance plan" "maintenance start" "maintenance pause" \
    "maintenance abort" report "report burn"; do
    # shellcheck disable=SC2086
    expect 0 $command --help
    expect_text 'Usage: parsleyglade'
done
expect 0 validate "$routes" "$pools"
expect 0 --json validate "$routes" "$pools"
expect_text '"valid": true'
expect 1 validate "$pools" "$routes"
expect_text 'unknown_key (101)'
expect 2 validate "$routes" "$folder/none.json"
expect 2 validate "$routes"
expect 2
expect 2 unknown
expect 2 maintenance
expect 2 status
expect 2 status --admin localhost:80
expect 2 drain shelf x --admin 127.0.0.1:1
expect 2 publish "$routes" "$pools" --admin 127.0.0.1:1
expect 2 publish "$routes" "$pools" --base-revision -1 --admin 127.0.0.1:1
expect 2 status --admin 127.0.0.1:1 --token-file "$folder/none"
printf 'two words\n' >"$folder/token"
expect 2 status --admin 127.0.0.1:1 --token-file "$folder/token"
printf 'token\n' >"$folder/token"
expect 3 status --admin 127.0.0.1:1 --admin 127.0.0.1:2 --token-file "$folder/token"
expect_text '127.0.0.1:2: no connection'
expect 3 publish "$routes" "$pools" --base-revision 0 --wait --admin 127.0.0.1:1

exit "$failed"
