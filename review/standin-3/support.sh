# Starts and ends a small deployment of separate processes on loopback addresses. Sourced by the scripts of the cases 11 to 15.
# The case sets CASE (its folder) before.

ROOT="$(cd "$CASE/../.." && pwd)"
STANDIN="$ROOT/target/review-3/standin-3"
RECORD="$CASE/record.txt"
TROUBLE="${TROUBLE:-1}"
WORK="$(mktemp -d)"
PIDS=()
ENTRY_HOSTS=4
CALLER=()
ENTRY_PIDS=()
FREE_PORTS=()

endAll()
{
    local pid
    for pid in "${PIDS[@]}"; do
        kill -KILL "$pid" 2>/dev/null
    done
    wait 2>/dev/null
    rm -rf "$WORK"
}
trap endAll EXIT

# Ends the script with 2, because the case could not run.
giveUp()
{
    note "the case could not run: $1"
    echo "could not run: $1"
    exit 2
}

note()
{
    echo "$(date +%s%3N) $1" >> "$RECORD"
}

now()
{
    date +%s%3N
}

# The command of the deploy file, without its arguments.
platformProgram()
{
    sed -n 's/^run = "\([^" ]*\).*"/\1/p' "$ROOT/deploy/system.toml" | head -1
}

# takePorts COUNT: sets "ports" to free ports, each of which is given once.
takePorts()
{
    if [ "${#FREE_PORTS[@]}" = 0 ]; then
        mapfile -t FREE_PORTS < <("$STANDIN" free-ports)
    fi
    ports=("${FREE_PORTS[@]:0:$1}")
    FREE_PORTS=("${FREE_PORTS[@]:$1}")
}

# Starts the platform's store and its list of machines.
startPlatform()
{
    "$STANDIN" platform --store "$STORE" --machines "$MACHINES" --record "$RECORD" >> "$WORK/platform.log" 2>&1 &
    PIDS+=($!)
}

# startExecutor ID ADDRESS SERVICE CPU [MORE OPTIONS]: sets EXECUTOR_PID.
startExecutor()
{
    local id="$1" address="$2" service="$3" cpu="$4"
    shift 4
    "$STANDIN" executor --id "$id" --address "$address" --store "$STORE" --service "$service" --cpu "$cpu" --zone an-duong --rack r1-1 \
        --record "$RECORD" "$@" >> "$WORK/executor-$id.log" 2>&1 &
    EXECUTOR_PID=$!
    PIDS+=("$EXECUTOR_PID")
}

# startProxy ADDRESS BACKEND LATE-FILE MILLISECONDS
startProxy()
{
    "$STANDIN" proxy --address "$1" --backend "$2" --late "$3" --late-ms "$4" --record "$RECORD" >> "$WORK/proxy.log" 2>&1 &
    PIDS+=($!)
}

# Prints the number of the entry host that leads, from the logs.
leaderNumber()
{
    local number
    for ((number = 0; number < ENTRY_HOSTS; ++number)); do
        if grep "leadership: " "$WORK/entry-$number.log" | tail -1 | grep -q "leadership: leads"; then
            echo "$number"
            return 0
        fi
    done
    return 1
}

# startEntryHosts: the settings are those that deploy/node.json.template makes from the fields of a small deployment.
startEntryHosts()
{
    local number ports ip zones=(an-duong le-chan hong-bang kien-an)
    for ((number = 0; number < ENTRY_HOSTS; ++number)); do
        takePorts 4
        ip=127.0.0.1
        cat > "$WORK/node-$number.json" <<END
{
    "entryHost": "front-${zones[number]}-1",
    "dataCentre": "${zones[number]}",
    "region": "haiphong",
    "callerAddress": "$ip:${ports[0]}",
    "readinessAddress": "$ip:${ports[1]}",
    "peerAddress": "$ip:${ports[2]}",
    "metricsAddress": "$ip:${ports[3]}",
    "storeAddress": "$STORE",
    "hostServiceAddress": "$MACHINES",
    "adviceAddress": "",
    "sharedKey": "parsleyglade",
    "gracePeriodSeconds": 6,
    "maximumLeaseMilliseconds": 10000,
    "configurationBoundMilliseconds": 2000,
    "hostOrderLeaseMilliseconds": 3000,
    "remoteRunFactor": 1.5,
    "processorShare": 0.25,
    "maximumDescriptors": 4100,
    "logLevel": "info"
}
END
        CALLER+=("$ip:${ports[0]}")
        (cd "$ROOT" && PARSLEYGLADE_BOOT="$WORK/node-$number.json" exec "$(platformProgram)" > "$WORK/entry-$number.log" 2>&1) &
        PIDS+=($!)
        ENTRY_PIDS+=($!)
    done
}

# writeRecord TOPIC KEY VALUE WRITER: writes as the operator, an executor or another writer does.
writeRecord()
{
    "$STANDIN" write --store "$STORE" --topic "$1" --key "$2" --value "$3" --writer "$4" > /dev/null
}

# call HOST METHOD PATH [BODY]: prints the status and the body of the answer, and notes both.
call()
{
    local answer
    answer="$("$STANDIN" request --address "${CALLER[$1]}" --host jobs.example --method "$2" --path "$3" --body "${4:-}")"
    note "caller $2 $3 at entry host $1 -> $answer"
    echo "$answer"
}

# waitFor SECONDS COMMAND...: until the command succeeds.
waitFor()
{
    local end=$(($(now) + $1 * 1000))
    shift
    while [ "$(now)" -lt "$end" ]; do
        if "$@"; then
            return 0
        fi
        sleep 0.05
    done
    return 1
}

hasRecorded()
{
    grep -q -- "$1" "$RECORD"
}

isServing()
{
    local host
    for ((host = 0; host < ENTRY_HOSTS; ++host)); do
        "$STANDIN" request --address "${CALLER[host]}" --host jobs.example --method GET --path /lathe/ 2>/dev/null | grep -q '^200' || return 1
    done
}

# startDeployment: platform, configuration and entry hosts. The executors are the case's own.
startDeployment()
{
    local ports
    [ -x "$STANDIN" ] || { echo "review/build-3.sh has not been run"; exit 2; }
    [ -x "$ROOT/$(platformProgram)" ] || { echo "the build of the deploy file has not been run"; exit 2; }
    : > "$RECORD"
    takePorts 2
    STORE="127.0.0.1:${ports[0]}"
    MACHINES="127.0.0.1:${ports[1]}"
    startPlatform
    waitFor 5 "$STANDIN" request --address "$MACHINES" --host "$MACHINES" --method GET --path /machines > /dev/null || giveUp "the platform does not answer"
    writeRecord keyed.op config '{"Version":7,"Routes":[{"Name":"lathe-path","Host":"jobs.example","PathPrefix":"/lathe/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":600,"Priority":0,"Service":"lathehall","MaxAttempts":3,"Stretch":1.6}],"Services":[{"Name":"lathehall","HealthPath":"/health","MaxConns":64,"Protocol":"h1","Tls":false,"AdmissionCheck":false,"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}' operator > /dev/null
    startEntryHosts
    waitFor 15 isServing || giveUp "no entry host serves"
}

# Keeps the logs of the entry hosts if LOGS names a folder.
keepLogs()
{
    if [ -n "${LOGS:-}" ]; then
        mkdir -p "$LOGS"
        cp "$WORK"/*.log "$LOGS/"
    fi
}

# Prints each start of a task while an earlier run of it was at work on another executor. Executors that were killed end their runs.
overlappingRuns()
{
    awk '
        $2 == "start" { split($3, e, "="); split($4, t, "=");
            if (t[2] in at && at[t[2]] != e[2]) print t[2], "runs on", at[t[2]], "and", e[2], "at", $1;
            at[t[2]] = e[2] }
        $2 == "end" { split($3, e, "="); split($4, t, "="); if (at[t[2]] == e[2]) delete at[t[2]] }
        $2 == "killed" { for (task in at) if (at[task] == $3) delete at[task] }
    ' "$RECORD"
}
