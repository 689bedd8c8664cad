// Messages between entry hosts and records on the platform's log.
// Regenerate with scripts/generate-thrift; the generated code is committed.
namespace cpp parsleyglade.wire

// ---- records of the claim streams ----

struct claim_entry {
    1: binary key              // 16 bytes, UUID version 7
    2: i64 caller              // hash of the caller's name
    3: i64 fingerprint         // hash of route, method, path and body
    4: i64 dispatcher          // incarnation of the entry host that may send the job
    5: i64 attempt             // random identifier of this attempt to claim
    6: i32 team                // room for quotas; 0 when unused
}

enum job_result {
    completed = 1
    unknown = 2
    released = 3
}

struct result_entry {
    1: binary key
    2: i64 caller
    3: i64 attempt
    4: job_result result
    5: i16 httpStatus          // of a completed job
}

struct snapshot_chunk {
    1: i64 snapshot            // identifier of the snapshot
    2: i32 index
    3: i32 count               // chunks in the whole snapshot
    4: i64 checksum            // over the whole snapshot
    5: binary part
}

struct claim_batch {
    1: i64 writer              // incarnation
    2: i64 batch               // random identifier
    3: list<claim_entry> claims
    4: list<result_entry> results
    5: i64 horizonMilliseconds // keys older than this are expired; 0 when not raised
    6: optional snapshot_chunk snapshot
}

// ---- records of the configuration stream ----

struct table_proposal {
    1: i64 baseRevision
    2: string routes           // canonical JSON
    3: string pools            // canonical JSON
    4: string author
    5: string note
    6: i64 proposal            // random identifier, by which the publisher finds its record
}

struct table_snapshot {
    1: i64 revision
    2: string routes
    3: string pools
    4: binary digest           // SHA-256 of the state
}

struct configuration_record {
    1: optional table_proposal proposal
    2: optional table_snapshot snapshot
}

// ---- records of the fleet stream ----

enum fleet_action {
    entry_registered = 1
    entry_retired = 2
    drain_started = 3
    drain_ended = 4
    move_started = 5
    move_acknowledged = 6
    move_joined = 7
    move_cancelled = 8
    wave_planned = 9
    wave_started = 10
    wave_paused = 11
    wave_aborted = 12
    wave_host_done = 13
    snapshot = 14
}

struct fleet_record {
    1: fleet_action action
    2: i64 writer              // incarnation
    3: i64 record              // random identifier
    4: string subject          // host, rack, data centre, wave or entry host
    5: string dataCentre
    6: string region
    7: string fromPool
    8: string toPool
    9: i64 epoch               // move epoch that the record is based on
    10: i64 wallMilliseconds
    11: string detail          // JSON: the wave's plan, or a snapshot
    12: string author
}

// ---- messages between entry hosts ----

struct hello {
    1: string entryHost
    2: i64 incarnation
    3: string region
    4: string dataCentre
    5: binary nonce
    6: i32 protocolVersion
}

struct hello_proof {
    1: binary mac              // HMAC-SHA256 over both nonces with the shared key
}

struct endpoint_load {
    1: string host
    2: i32 inFlight
    3: i32 longInFlight
}

struct pool_load {
    1: string pool
    2: i64 arrivals            // since the process started
    3: i32 queued
    4: i32 running
    5: i64 runMicroseconds     // learned mean run time of short jobs
}

struct heartbeat {
    1: i64 incarnation
    2: i64 configurationRevision
    3: i64 configurationOffset
    4: binary configurationDigest
    5: i64 fleetOffset
    6: bool ready
    7: bool logReachable
    8: list<endpoint_load> loads
    9: i64 sentMicroseconds
    10: list<pool_load> pools
    11: list<string> unhealthyHosts   // of the sender's data centre
}

enum claim_verdict {
    granted = 1                // the asker may send the job, once
    still_running = 2
    completed = 3
    outcome_unknown = 4
    refused = 5                // certainly not run
    key_reused = 6
    key_expired = 7
    not_found = 8
}

struct kept_answer {
    1: i16 httpStatus
    2: string contentType
    3: binary body
}

struct claim_request {
    1: i32 stream
    2: claim_entry claim
    3: i32 waitMilliseconds    // how long the coordinator may hold the question while the job runs
    4: bool queryOnly          // asks for the state and claims nothing
}

struct claim_reply {
    1: claim_verdict verdict
    2: i32 code                // result code
    3: string reason
    4: i64 dispatcher
    5: i64 attempt
    6: i16 httpStatus
    7: optional kept_answer answer
}

struct result_report {
    1: i32 stream
    2: result_entry result
    3: optional kept_answer answer
}

struct result_acknowledgement {
    1: bool recorded
}

struct cancel_request {
    1: binary key
    2: i64 caller
}

struct cancel_reply {
    1: bool stopped            // certainly not run, and will not
}

struct forward_request {
    1: string requestId
    2: string method
    3: string path
    5: binary body
    6: string caller
    7: binary key
    8: i64 deadlineMilliseconds
    9: map<string, string> headers   // end-to-end headers of the request
    10: string query
}

struct forward_reply {
    1: bool started            // whether the job may have started
    2: i32 code
    3: string reason
    4: optional kept_answer answer
}

struct log_record {
    1: i64 offset
    2: binary payload
}

struct log_records {
    1: string stream
    2: list<log_record> records
}

struct log_fetch {
    1: string stream
    2: i64 fromOffset
}

struct document_request {
    1: string document         // "status" or "burn"
}

struct document_reply {
    1: string json
}

// ---- scheduled work: records of the journal and messages to the leading scheduler ----

struct resource_amounts {
    1: i64 cpuMillicores
    2: i64 memoryMegabytes
    3: i64 accelerators
}

struct step_record {
    1: i32 taskCount
    2: resource_amounts demand
    3: i64 estimateMilliseconds    // rough run time of one task, as declared
    4: list<i32> after             // earlier steps whose tasks must all be done first
    5: bool checkpointing
    6: bool gang                   // the tasks run only together
    7: bool tightlyCoupled         // the tasks are slower on more than one rack
    8: bool speculative            // copies may run in parallel
    9: bool longRunning            // runs until the job is cancelled, restarted however it ends
    10: bool fillsIdle             // its processor demand is not reserved
    11: string requiredLabel
    12: string preferredRack
    13: i32 maximumPerExecutor     // 0: no limit
    14: string image
    15: i64 targetMilliseconds     // bound of the task's own response times; 0: none
    16: i32 maximumAway            // tasks that the system may take away at a time; -1: no limit
}

struct work_record {
    1: string queue
    2: binary payload
    3: list<step_record> steps
    4: i32 repeatCount             // 0: runs once, at once
    5: i64 startAtMilliseconds     // since the Unix epoch
    6: i64 intervalMilliseconds
    7: i64 acceptedMilliseconds    // since the Unix epoch, on the accepting scheduler's clock
    8: optional string team        // whose key submitted the job; not set where queues need no key
    9: optional bool beyondRate    // accepted although the team had used up its rate
}

struct run_record {
    1: i32 run
    2: string executor
    3: i64 boot                    // start of the executor, milliseconds since the Unix epoch
    4: bool confirmed              // the executor has begun it, and no order for it is under way
    5: i32 orderAgeMilliseconds    // of a leader that resigns: time since its last start order, which has no answer; otherwise 0
    6: bool repeated               // an order to start it had no answer, so that it may have had more than one
}

struct task_record {
    1: i32 occurrence
    2: i32 step
    3: i32 index
    4: i32 lastRun
    5: i32 failures                // runs that failed; a failed run of a gang counts for one of its members
    6: bool done
    7: binary checkpoint
    8: list<run_record> runs       // that may be alive
    9: i32 lastFailedRun           // 0 if none has failed
}

struct progress_record {
    1: i32 state                   // work_state
    2: list<task_record> tasks     // tasks that were started at least once
}

struct host_record {
    1: string host
    2: i64 wave                    // of a maintenance order; 0 for a move
    3: string pool                 // of a move
    4: bool done                   // the order has certainly been carried out
    5: i64 fence                   // of the leader that gave the order
    6: i64 orderedMilliseconds     // since the Unix epoch, on that leader's clock
    7: i32 orderAgeMilliseconds    // of a leader that resigns: least time since the last order for the host, by any leader; 0 if that is not certain
}

struct lease_record {
    1: string executor
    2: i64 leaseMilliseconds       // how long after this record was made the executor may still hold a lease
    3: bool lost                   // of a leader that resigns: the executor does not answer it, and it has granted no later lease
}

// A start order without a response whose run is over. A later boot of the executor may still carry it out.
struct late_start_record {
    1: string executor
    2: i64 boot                    // of the executor, as the leader knew it
    3: string job
    4: i32 occurrence
    5: i32 step
    6: i32 index
    7: i32 run
    8: i64 leftMilliseconds        // how long after this record was made the order may still be carried out
}

struct batch_record {
    1: i64 writer                  // incarnation
    2: i64 sequence                // rises by one with each batch of the writer
    3: bool takeover
    4: bool resigned
    5: string peerAddress          // of the writer
}

enum work_call_kind {
    submit = 1
    query = 2
    cancel = 3
    count_pending = 4
}

struct work_call {
    1: work_call_kind kind
    2: string queue
    3: string job
    4: optional work_record work   // of a submission
    5: i64 configurationVersion    // that the caller resolved the queue with
    6: optional binary keyDigest   // of the API key that came with the request
}

enum work_verdict {
    done = 1                       // accepted, cancelled or answered
    not_found = 2
    refused = 3                    // certainly not accepted
    no_such_queue = 4
    not_leading = 5                // nothing was done; ask the leader
    invalid = 6                    // the request can never be accepted
    undecided = 7                  // the leader ended; the call may have been carried out
    not_authenticated = 8          // certainly not accepted: the queue needs a key, and the configuration has none like the given one
}

struct work_reply {
    1: work_verdict verdict
    2: i32 state                   // work_state, of a query
    3: i64 pending
    4: string reason
    5: i64 retryAfterMilliseconds
}

struct leader_probe {
    1: i64 configurationVersion
    2: string peerAddress          // of the asking entry host
    4: i32 leadingMillicores           // processor share of the asking entry host; 0 while it could not lead
    5: bool wantsConfiguration     // the answer is to have the operator's record, if it is newer
    6: string dataCentre           // of the asking entry host
}

struct leader_status {
    1: bool leading
    2: bool resigning
    3: i64 journalAgeMilliseconds  // since the last append that the journal confirmed
    4: i64 configurationVersion
    5: string leaderAddress        // whom the answering entry host follows; empty when it knows none that works
    6: list<string> members        // peer addresses of the entry hosts that follow the leader
    7: i64 leadership              // fencing token of that leader
    8: optional binary configuration   // the operator's record, where it was asked for and the asker has an older version
    9: i64 configurationAgeMilliseconds   // since that version was last known to be the newest
    10: bool storeRefuses          // the store has refused or not answered the leader's last appends; an entry host that reaches it may take over
    11: list<string> successors    // peer addresses of the entry hosts that keep a copy of the journal's state and take over first
    12: i64 journalEnd             // with storeRefuses: end of the journal as of the leader's last confirmed append; the statement holds only while it ends there
}

// ---- orders of the leader that another entry host sends to executors on its behalf ----

enum relay_order_kind {
    start = 1
    stop = 2
    pace = 3
    poll = 4
}

// One order. Fields that a kind does not use keep their default values.
struct relay_order {
    1: i64 number                  // identifies the order on its connection; its result carries the same
    2: relay_order_kind kind
    3: string executor
    4: string address              // of the executor
    5: i64 fence
    6: string job
    7: i32 occurrence
    8: i32 step
    9: i32 index
    10: i32 run
    11: i32 payload                // of a start: index in relay_orders.payloads
    12: binary checkpoint          // of a start
    13: string ticket              // of a start
    14: i64 leaseEnd               // of a start, and of a poll that extends the lease; otherwise 0
    15: i32 percent                // of a pace order
    16: i64 acknowledgedUpTo       // of a poll
    17: i32 waitMilliseconds       // of a poll
    18: bool blocksLateStart       // of a stop: it is not queued behind other orders
}

struct relay_orders {
    1: i64 sentMicroseconds        // on the leader's steady clock
    2: i64 validMilliseconds       // how long after that the orders may be sent to executors
    3: list<binary> payloads       // tasks of one job share theirs
    4: list<relay_order> orders
}

struct relay_running {
    1: string job
    2: i32 occurrence
    3: i32 step
    4: i32 index
    5: i32 run
    6: binary checkpoint
    7: i32 progress
    8: i64 measured
}

struct relay_finished {
    1: i64 number
    2: string job
    3: i32 occurrence
    4: i32 step
    5: i32 index
    6: i32 run
    7: i32 runEnd                  // run_end
    8: binary checkpoint
}

struct relay_result {
    1: i64 number                  // of the order
    2: i32 result                  // order_result
    3: i64 clockMilliseconds
    4: string reason
    5: i64 boot                    // of a poll, as the fields below
    6: list<relay_running> running
    7: list<relay_finished> finished
}

struct relay_results {
    1: list<relay_result> results
    2: bool leaving                // the entry host shuts down and is to get no further orders
}

// One frame between entry hosts. Exactly one of the optional fields is set.
struct peer_message {
    1: i64 id                  // a reply carries the id of its request
    2: bool isReply
    3: optional hello greeting
    4: optional hello_proof proof
    5: optional heartbeat beat
    6: optional claim_request claim
    7: optional claim_reply claimReply
    8: optional result_report report
    9: optional result_acknowledgement reportReply
    10: optional cancel_request cancel
    11: optional cancel_reply cancelReply
    12: optional forward_request forward
    13: optional forward_reply forwardReply
    14: optional log_records records
    15: optional log_fetch fetch
    16: optional document_request document
    17: optional document_reply documentReply
    18: optional work_call work
    19: optional work_reply workReply
    20: optional leader_probe probe
    21: optional leader_status probeReply
    22: optional relay_orders relayOrders
    23: optional relay_results relayResults
}
