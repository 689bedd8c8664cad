#!/usr/bin/env bash
# Guards against a settings template from which no entry host can start when a renderer fills in plain names only, as the stand-ins of the review cases do.
set -uo pipefail
source "$(dirname "$0")/support.sh" "${1:?build folder}" hung-phat 31

ready_address=$cluster_ip:31002
metrics_port=31004

# render <names of optional values to fill in, or nothing>: fills in the plain names of the template, and leaves all others as they are.
render() {
    sed -e 's/{{NodeName|json}}/"front-1"/' -e 's/{{Zone|json}}/"an-duong"/' -e 's/{{Region|json}}/"hai-phong"/' \
        -e "s/{{Listen.Front|json}}/\"$cluster_ip:31001\"/" -e "s/{{Listen.Ready|json}}/\"$ready_address\"/" -e "s/{{Ip}}/$cluster_ip/" \
        -e 's/{{InternalPorts.0}}/31003/' -e "s/{{InternalPorts.1}}/$metrics_port/" -e "s/{{platform.Address|json}}/\"$cluster_ip:31900\"/" \
        -e "s/{{CloudApi.Address}}/$cluster_ip:31901/" -e "s/{{Advice}}/$cluster_ip:31902/" -e 's/{{Bounds.GraceS}}/6/' \
        -e 's/{{Bounds.MaxHoldMs}}/10000/' -e 's/{{Bounds.ConfigApplyMs}}/2000/' -e 's/{{Bounds.LeaseMs}}/3000/' -e 's/{{Limits.CpuShare}}/0.25/' \
        -e 's/{{Limits.MaxFds}}/4100/' "$@" "$cluster_root/deploy/node.json.template"
}
answers() { curl --silent --max-time 2 --output /dev/null "http://$cluster_ip:$metrics_port/metrics"; }

# check_start <what> <more arguments of render>
check_start() {
    local what=$1 pid
    shift
    render "$@" >"$cluster_dir/node.json"
    PARSLEYGLADE_BOOT=$cluster_dir/node.json "$cluster_build/parsleyglade-platform" >"$cluster_dir/entry.log" 2>&1 &
    pid=$!
    cluster_pids[template]=$pid
    check "an entry host starts from the template $what" cluster_wait_until "it serves its metrics" answers
    kill -TERM "$pid"
    wait "$pid"
    check "it ends with 0" is_equal "$?" 0
    unset "cluster_pids[template]"
}

check_start "with names that were not filled in"
check_start "with empty values" -e 's/{{Bounds\.[A-Za-z]*}}//'
check_start "with all values" -e 's/{{Bounds.StrictRevoke}}/true/' -e 's/{{Bounds.RevokeMs}}/7000/' -e 's/{{Bounds.RemoteFactor}}/1.5/'
