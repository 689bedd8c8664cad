#pragma once

#include "jobs/claim_evaluation.h"
#include "jobs/coordinator_settings.h"
#include "jobs/dispatcher_failure_detector.h"
#include "jobs/pending_claim_requests.h"
#include "jobs/pending_reports.h"
#include "jobs/response_cache.h"
#include "jobs/snapshot_writer.h"
#include "jobs/stream_reader.h"

#include <optional>
#include <random>
#include <set>

namespace parsleyglade {

/** Snapshot of a coordinator's state for status pages and metrics. */
struct coordinator_status
{
    bool isActive = false;
    bool isCaughtUp = false;
    log_offset nextOffset = 0;
    std::size_t weight = 0; /**< Records plus voided attempts; limited by coordinator_settings::maximumClaims. */
    std::size_t openClaims = 0;
    std::size_t pendingRequests = 0;
    std::size_t pendingReports = 0;
    std::uint64_t corruptRecords = 0;
    std::uint64_t appends = 0; /**< Appends started since the process started. */
    std::uint64_t appendedBytes = 0; /**< Payload bytes of all started appends. */
    wall_time horizon{};
};

/**
 * State machine of the coordinator of one claim stream.
 *
 * The coordinator batches claims and results into one append at a time. It replies to a claim only after it has applied every record up to and including
 * the claim's own. Coordinator leadership is only a hint: several processes may act as coordinator of a stream at the same time, and the order of the log
 * decides between their claims.
 *
 * Each input returns the actions that the owner has to perform. The owner also calls tick() no later than nextWake(). At most one append and one read are
 * in flight, and the owner must report the completion of each exactly once.
 *
 * A request is a claim or a query. A query that finds no claim waits for a later append (a barrier) before the reply is sent, because the local state may be
 * stale and cannot rule out a claim that another process has appended.
 */
class claim_coordinator
{
public:
    /** @param seed seed of batch and snapshot identifiers; must differ between processes */
    claim_coordinator(const coordinator_settings &settings, std::uint64_t seed);
    claim_coordinator(const claim_coordinator &) = delete;
    claim_coordinator &operator=(const claim_coordinator &) = delete;

    /** Makes this process the coordinator. It reads the stream up to its head before it replies to any request. */
    coordinator_actions start(const clock_reading &at);

    /** Ends the coordinator role of this process. Pending claims are refused with coordinator_unreachable; their dispatchers then release them. */
    coordinator_actions stop(const clock_reading &at);

    /** Handles a claim request or query. The reply is a reply_action, possibly one of the returned actions. */
    coordinator_actions request(reply_handle handle, const wire::claim_request &request, const clock_reading &at);

    /** Handles a dispatcher's result report. The reply is an acknowledge_action. The report's response is cached once the log records the job as completed. */
    coordinator_actions report(reply_handle handle, const wire::result_report &report, const clock_reading &at);

    /** Drops a pending request whose sender has disconnected; no reply_action follows. */
    void forget(reply_handle handle);

    /** Records activity of a dispatcher, such as a heartbeat. Claim requests and reports are recorded automatically. */
    void dispatcherActive(incarnation_id dispatcher, const clock_reading &at);

    /** Records that a dispatcher's process has exited or been replaced. Its open claims become unknown without waiting for dispatcherLostTimeout. */
    coordinator_actions dispatcherExited(incarnation_id dispatcher, const clock_reading &at);

    /** Completes the append_action in flight. */
    coordinator_actions appendCompleted(const append_response &response, const clock_reading &at);

    /** Completes the read_action in flight. */
    coordinator_actions readCompleted(const read_response &response, const clock_reading &at);

    /** Performs all work that is due. */
    coordinator_actions tick(const clock_reading &at);

    /** Latest time for the next call of tick(); nothing while the coordinator is not active. */
    std::optional<time_point> nextWake() const;

    /** State of the stream as applied so far; may be stale. */
    const claim_fold &fold() const;
    coordinator_status status() const;

private:
    enum class batch_phase {
        none,
        appending, /**< The append is in flight. */
        folding, /**< Appended, or the outcome is unknown; reading until the batch has been applied. */
        backing_off, /**< Waiting to be appended again. */
    };

    struct batch_in_flight
    {
        batch_phase phase = batch_phase::none;
        std::int64_t identifier = 0;
        std::string payload;
        std::map<claim_identity, attempt_id> claims;
        std::vector<report_key> reports;
        std::vector<reply_handle> barriers;
        std::optional<log_offset> offset;
        time_point builtAt{};
        bool hasChunk = false;
        bool mayBeWritten = false;
    };

    // Requests and reports.
    void evaluate(reply_handle handle);
    void evaluateAfterBarrier(reply_handle handle);
    void evaluateAll();
    void evaluateJob(const claim_identity &identity);
    void joinOpenClaim(reply_handle handle, pending_claim_request &pending, const claim_record &record);
    void claimOrQuery(reply_handle handle, pending_claim_request &pending);
    void awaitBarrier(reply_handle handle, pending_claim_request &pending);
    std::optional<wire::claim_reply> refusalReply(const pending_claim_request &pending) const;
    wire::claim_reply unclaimedReply(const pending_claim_request &pending) const;
    wire::claim_reply undecidedReply(const pending_claim_request &pending, result_code code) const;
    void finish(reply_handle handle, wire::claim_reply reply);
    void expireRequests();
    void withdrawQueuedClaim(const pending_claim_request &pending);
    void evaluateReport(const report_key &key, bool isFolded);
    void acknowledgeAll(const std::vector<reply_handle> &handles);

    // Housekeeping.
    void housekeep();
    void recordLostDispatchers();
    bool isHorizonUrgent() const;
    std::optional<wall_time> horizonToRaise() const;

    // Log.
    void advance();
    void startAppend();
    void buildBatch();
    void sendBatch();
    bool hasWork() const;
    bool isBatchAbandoned() const;
    bool isPending(const claim_identity &identity) const;
    void settleBatch();
    void dropBatch();
    void markMayBeWritten();
    void processFoldResults(const std::vector<fold_result> &results);
    void startRead();
    bool needsRead() const;
    bool needsRefresh() const;
    void delayAppend(duration atLeast);
    void delayRead();
    void beginInput(const clock_reading &at);
    coordinator_actions finishInput();

    coordinator_settings m_settings;
    std::mt19937_64 m_random;
    stream_reader m_reader;
    pending_claim_requests m_requests;
    pending_reports m_reports;
    response_cache m_responses;
    dispatcher_failure_detector m_failureDetector;
    snapshot_writer m_snapshots;
    std::map<claim_identity, wire::claim_entry> m_queue; /**< Claims for the next batches, oldest key first. */
    std::vector<reply_handle> m_barriers; /**< Requests that wait until the next batch has been applied. */
    batch_in_flight m_batch;
    coordinator_actions m_actions;
    clock_reading m_at;
    bool m_isActive = false;
    bool m_isAppending = false; /**< An append is in flight. */
    bool m_isReading = false; /**< A read is in flight. */
    std::int64_t m_appendingBatch = 0; /**< Identifier of the batch in the append that is in flight. */
    time_point m_appendAt{}; /**< Earliest start of the next append. */
    time_point m_readAt{}; /**< Earliest start of the next read. */
    time_point m_contactAt{}; /**< Time of the last successful response of the log. */
    time_point m_housekeepingAt{};
    duration m_appendDelay{}; /**< Current backoff of appends. */
    duration m_readDelay{}; /**< Current backoff of reads. */
    wall_time m_newestRequested{}; /**< Creation time of the newest requested key, excluding keys beyond the future tolerance. */
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
};

} // namespace parsleyglade
