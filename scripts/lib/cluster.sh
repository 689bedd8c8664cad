# Functions that run a complete deployment on loopback: stand-ins and seven entry hosts in four data centres.
# Source it, then: cluster_prepare <build folder> <deployment> <two-digit port prefix>; cluster_start; ...; cluster_stop.
# Ports: <prefix>001.. endpoints, <prefix>101.. callers, <prefix>201.. operators, <prefix>301.. peers, <prefix>900 log, <prefix>901 host list.
# If cluster_linked_data_centre is set to a number from 0 to 3 before cluster_prepare, connections between that data centre's entry hosts and
# the other entry hosts and the log pass through links (standin-link), which can be partitioned. Their ports: <prefix>401.. peers,
# <prefix>910 log, <prefix>902 host list of the data centre, <prefix>903 control of the links.

cluster_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
declare -A cluster_pids=()
cluster_entry_count=7
# Any address of 127.0.0.0/8. Concurrent runs with addresses of their own may use the same ports.
cluster_ip=${cluster_ip:-127.0.0.1}
cluster_operator_token=operator-demo-token
cluster_caller_token=clinic-demo-token
cluster_other_caller_token=workshop-demo-token

cluster_sha256() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }

# Sets the variables of the deployment and writes its tables, host lists and settings to a temporary folder, $cluster_dir.
cluster_prepare() {
    cluster_build=$1
    cluster_deployment=$2
    cluster_prefix=$3
    cluster_dir=$(mktemp -d)
    case $cluster_deployment in
    hung-phat) cluster_region=hai-phong cluster_data_centres=(an-duong le-chan hong-bang kien-an) ;;
    austral-pistas) cluster_region=patagonia cluster_data_centres=(ushuaia rio-grande el-calafate bariloche) ;;
    esac

    local table
    for table in routes pools; do
        sed -E "s/127\.0\.0\.1:2[0-9]/$cluster_ip:$cluster_prefix/" "$cluster_root/examples/$cluster_deployment/$table.json" >"$cluster_dir/$table.json"
    done
    cluster_endpoint_names=$(grep -o '"host": "[^"]*"' "$cluster_dir/pools.json" | cut -d'"' -f4 | paste -sd,)
    cluster_endpoint_count=$(grep -c '"host": "' "$cluster_dir/pools.json")
    cluster_write_host_list "$cluster_dir/hosts.json" outside
    cluster_write_host_list "$cluster_dir/hosts-inside.json" inside
    local number
    for number in $(seq "$cluster_entry_count"); do
        cluster_write_settings "$number"
    done
}

cluster_entry_data_centre() { echo "${cluster_data_centres[$((($1 - 1) % 4))]}"; }
cluster_caller_address() { echo "$cluster_ip:${cluster_prefix}10$1"; }
cluster_admin_address() { echo "$cluster_ip:${cluster_prefix}20$1"; }
cluster_peer_address() { echo "$cluster_ip:${cluster_prefix}30$1"; }
# Prints "inside" if an entry host is in the linked data centre, else "outside".
cluster_side() { if [ "$((($1 - 1) % 4))" = "${cluster_linked_data_centre:-}" ]; then echo inside; else echo outside; fi; }
# cluster_reachable_peer_address <entry host number> <side>: the address at which entry hosts of a side reach this peer.
# From the other side it is the address of a link.
cluster_reachable_peer_address() {
    if [ -z "${cluster_linked_data_centre:-}" ] || [ "$(cluster_side "$1")" = "$2" ]; then
        cluster_peer_address "$1"
    else
        echo "$cluster_ip:${cluster_prefix}40$1"
    fi
}
cluster_link_control_address() { echo "$cluster_ip:${cluster_prefix}903"; }
cluster_log_address() { echo "$cluster_ip:${cluster_prefix}900"; }
cluster_host_list_address() { echo "$cluster_ip:${cluster_prefix}901"; }
cluster_endpoints() { echo "$cluster_ip:${cluster_prefix}001,$cluster_endpoint_count"; }

# cluster_write_host_list <file> <side>: writes the host list as entry hosts of a side receive it.
cluster_write_host_list() {
    local endpoints entries number
    endpoints=$(grep '"host": "' "$cluster_dir/pools.json" | sed -E 's/^ *//; s/,$//' |
        sed -E "s/^\{(.*)\}$/{\1, \"region\": \"$cluster_region\", \"role\": \"endpoint\", \"state\": \"live\"}/" | paste -sd,)
    entries=""
    for number in $(seq "$cluster_entry_count"); do
        entries+=",{\"host\": \"entry-$number\", \"region\": \"$cluster_region\", \"dataCentre\": \"$(cluster_entry_data_centre "$number")\","
        entries+=" \"rack\": \"entry\", \"address\": \"$(cluster_reachable_peer_address "$number" "$2")\", \"role\": \"entry\", \"state\": \"live\"}"
    done
    echo "{\"hosts\": [$endpoints$entries]}" >"$1"
}

# cluster_write_settings <entry host number>. cluster_extra_settings may contain further settings, such as '"claimStreams": 1,'.
cluster_write_settings() {
    local number=$1 side log_address host_list_address
    side=$(cluster_side "$number")
    log_address=$(cluster_log_address)
    host_list_address=$(cluster_host_list_address)
    if [ "$side" = inside ]; then
        log_address="$cluster_ip:${cluster_prefix}910"
        host_list_address="$cluster_ip:${cluster_prefix}902"
    fi
    cat >"$cluster_dir/entry-$number.json" <<SETTINGS
{
    "entryHost": "entry-$number",
    "region": "$cluster_region",
    "dataCentre": "$(cluster_entry_data_centre "$number")",
    "callerAddress": "$(cluster_caller_address "$number")",
    "adminAddress": "$(cluster_admin_address "$number")",
    "peerAddress": "$(cluster_peer_address "$number")",
    "logAddresses": ["$log_address"],
    "hostListAddresses": ["$host_list_address"],
    "peers": ["$(cluster_reachable_peer_address 1 "$side")", "$(cluster_reachable_peer_address 2 "$side")"],
    "peerKey": "shared-key-of-the-demonstration",
    "operatorTokenSha256": "$(cluster_sha256 "$cluster_operator_token")",
    ${cluster_extra_settings:-}
    "callers": [
        {"name": "clinic", "tokenSha256": "$(cluster_sha256 "$cluster_caller_token")", "team": "clinics", "share": 2.0},
        {"name": "workshop", "tokenSha256": "$(cluster_sha256 "$cluster_other_caller_token")"}
    ]
}
SETTINGS
}

# cluster_launch <name> <command...>: starts a process in the background and writes its output to <name>.log.
cluster_launch() {
    local name=$1
    shift
    "$@" >>"$cluster_dir/$name.log" 2>&1 &
    cluster_pids[$name]=$!
}

cluster_launch_log() {
    cluster_launch log "$cluster_build/standin-log" --listen "$(cluster_log_address)" --latency-milliseconds "${cluster_log_latency:-5}" "$@"
}
cluster_launch_host_list() {
    cluster_launch hostlist "$cluster_build/standin-hostlist" --listen "$(cluster_host_list_address)" --hosts "$cluster_dir/hosts.json" "$@"
}
cluster_launch_endpoints() {
    cluster_launch endpoints "$cluster_build/standin-endpoint" --listen "$cluster_ip:${cluster_prefix}001" --count "$cluster_endpoint_count" \
        --names "$cluster_endpoint_names" "$@"
}
# The links are named in-<n> (from outside to entry host n), out-<n> (from inside to entry host n) and log.
cluster_launch_links() {
    local number links=(--link "log=$cluster_ip:${cluster_prefix}910=$(cluster_log_address)")
    for number in $(seq "$cluster_entry_count"); do
        local name=out
        [ "$(cluster_side "$number")" = inside ] && name=in
        links+=(--link "$name-$number=$cluster_ip:${cluster_prefix}40$number=$(cluster_peer_address "$number")")
    done
    cluster_launch links "$cluster_build/standin-link" --control "$(cluster_link_control_address)" "${links[@]}"
    cluster_launch hostlist-inside "$cluster_build/standin-hostlist" --listen "$cluster_ip:${cluster_prefix}902" --hosts "$cluster_dir/hosts-inside.json"
}
cluster_launch_entry() { cluster_launch "entry-$1" "$cluster_build/parsleygladed" --settings "$cluster_dir/entry-$1.json"; }

cluster_start() {
    cluster_launch_log
    cluster_launch_host_list
    cluster_launch_endpoints
    [ -n "${cluster_linked_data_centre:-}" ] && cluster_launch_links
    local number
    for number in $(seq "$cluster_entry_count"); do
        cluster_launch_entry "$number"
    done
    for number in $(seq "$cluster_entry_count"); do
        cluster_wait_until "entry-$number is up" cluster_admin_request "$number" /healthz
    done
}

# cluster_wait_until <what> <command...>: repeats the command until it succeeds, for up to 15 s.
cluster_wait_until() {
    local what=$1 attempt
    shift
    for attempt in $(seq 150); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    echo "timed out after 15 s: $what" >&2
    return 1
}

# cluster_admin_request <entry host number> <path> [curl options]: sends an HTTP request to the operators' interface.
cluster_admin_request() {
    local number=$1 path=$2
    shift 2
    curl --silent --show-error --fail-with-body --max-time 10 -H "Authorization: Bearer $cluster_operator_token" "$@" \
        "http://$(cluster_admin_address "$number")$path"
}

# cluster_send_job <entry host number> <path> [curl options]: sends a job as the caller "clinic".
cluster_send_job() {
    local number=$1 path=$2
    shift 2
    curl --silent --show-error --max-time 70 -H "Authorization: Bearer $cluster_caller_token" "$@" "http://$(cluster_caller_address "$number")$path"
}

# cluster_set_faults <address> <json>: sets the faults that a stand-in injects.
cluster_set_faults() { curl --silent --show-error --fail-with-body --max-time 5 -X PUT -d "$2" "http://$1/v1/faults" >/dev/null; }

# cluster_set_link_faults <name prefix> <json>: sets the faults of the links whose names start with the prefix; faults that are not named end.
cluster_set_link_faults() {
    curl --silent --show-error --fail-with-body --max-time 5 -X PUT -d "$2" "http://$(cluster_link_control_address)/v1/faults/$1" >/dev/null
}

# Prints a new UUID version 7.
cluster_new_key() {
    local random
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    local time
    time=$(printf '%012x' "$(date +%s%3N)")
    echo "${time:0:8}-${time:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}

cluster_is_ready() { cluster_admin_request "$1" /readyz; }

cluster_publish_examples() {
    PARSLEYGLADE_TOKEN=$cluster_operator_token "$cluster_build/parsleyglade" --admin "$(cluster_admin_address 1)" \
        publish "$cluster_dir/routes.json" "$cluster_dir/pools.json" --base-revision "${1:-0}" --author demo --wait
}

# cluster_signal <name> <signal>: sends a signal to a process that was started under this name.
cluster_signal() { kill "-$2" "${cluster_pids[$1]}"; }

# cluster_kill <name>: kills a process and removes it from cluster_pids.
cluster_kill() {
    kill -KILL "${cluster_pids[$1]}" 2>/dev/null
    wait "${cluster_pids[$1]}" 2>/dev/null
    unset "cluster_pids[$1]"
}

# Stops every process that was started, by its id: SIGTERM, then SIGKILL after 5 s.
cluster_stop() {
    local name
    for name in "${!cluster_pids[@]}"; do
        kill -CONT "${cluster_pids[$name]}" 2>/dev/null
        kill -TERM "${cluster_pids[$name]}" 2>/dev/null
    done
    local attempt
    for attempt in $(seq 50); do
        local running=0
        for name in "${!cluster_pids[@]}"; do
            kill -0 "${cluster_pids[$name]}" 2>/dev/null && running=1
        done
        [ "$running" -eq 0 ] && break
        sleep 0.1
    done
    for name in "${!cluster_pids[@]}"; do
        kill -KILL "${cluster_pids[$name]}" 2>/dev/null
        wait "${cluster_pids[$name]}" 2>/dev/null
    done
    cluster_pids=()
}
