#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
case_folder=$(cd "$(dirname "$0")" && pwd)
cd "$case_folder/../.."
if [ ! -x target/parsleyglade-platform ] || [ ! -x target/review/stale_lease ]; then
    echo "build the deploy file, then run review/build.sh" >&2
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=3 115 target/review/stale_lease "$folder" "${RECORD:-$case_folder/record.txt}"
status=$?
[ $status -le 1 ] && exit $status
exit 2
