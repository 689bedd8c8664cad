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

/** Figures about a coordinator, for status pages and metrics. */
struct coordinator_status
{
    bool isActive = false;
    bool isCaughtUp = false;
    log_offset nextOffset = 0;
    std::size_t weight = 0; /**< Records and void attempts, the measure that maximumClaims limits. */
    std::size_t openClaims = 0;
    std::size_t pendingRequests = 0;
    std::size_t pendingReports = 0;
    std::uint64_t corruptRecords = 0;
    std::uint64_t appends = 0; /**< Appends started since the process began. */
    std::uint64_t appendedBytes = 0;
    wall_time horizon{};
};

/**
 * State machine of one claim stream's coordinator.
 *
 * It groups claims and results into one append at a time, and answers a claim only once every record up to its own is folded. Being coordinator is a hint:
 * several processes may act on one stream at the same time, and the log's order decides. Each input returns the actions to be done; the owner calls tick()
 * at nextWake(). At most one append and one read are outstanding, and each must be answered exactly once.
 *
 * Requests are claims or queries. A query that finds no claim waits for an append of its own, since a fold alone can't show that nobody else has claimed.
 */
class claim_coordinator
{
public:
    /** @param seed for batch and snapshot identifiers; must differ between processes */
    claim_coordinator(const coordinator_settings &settings, std::uint64_t seed);
    claim_coordinator(const claim_coordinator &) = delete;
    claim_coordinator &operator=(const claim_coordinator &) = delete;

    /** This process becomes coordinator. It catches up before it answers anything. */
    coordinator_actions start(const clock_reading &at);

    /** Another process is coordinator now. Held claims are refused with coordinator_unreachable; their dispatchers release them. */
    coordinator_actions stop(const clock_reading &at);

    /** A claim request or query; answered by a reply_action, possibly at once. */
    coordinator_actions request(reply_handle handle, const wire::claim_request &request, const clock_reading &at);

    /** A dispatcher's report; answered by an acknowledge_action. A kept answer is stored once the log says completed. */
    coordinator_actions report(reply_handle handle, const wire::result_report &report, const clock_reading &at);

    /** The asker has gone, so no answer is needed. */
    void forget(reply_handle handle);

    /** A sign of life of a dispatcher, such as a heartbeat. Requests and reports count as signs by themselves. */
    void dispatcherSeen(incarnation_id dispatcher, const clock_reading &at);

    /** A dispatcher's process has ended or been replaced. Its open claims become unknown without waiting for dispatcherLostTimeout. */
    coordinator_actions dispatcherExited(incarnation_id dispatcher, const clock_reading &at);

    /** Answer to the append_action. */
    coordinator_actions appendCompleted(const append_response &answer, const clock_reading &at);

    /** Answer to the read_action. */
    coordinator_actions readCompleted(const read_response &answer, const clock_reading &at);

    /** Does what has fallen due. */
    coordinator_actions tick(const clock_reading &at);

    /** When tick() has to be called at the latest; nothing while the coordinator is not active. */
    std::optional<time_point> nextWake() const;

    const claim_fold &fold() const;
    coordinator_status status() const;

private:
    enum class batch_phase {
        none,
        appending, /**< The append call is outstanding. */
        folding, /**< Appended or unknown; reading on until the batch is folded. */
        backing_off, /**< To be appended again. */
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
    void joinOpenClaim(reply_handle handle, pending_claim_request &held, const claim_record &record);
    void claimOrQuery(reply_handle handle, pending_claim_request &held);
    void awaitBarrier(reply_handle handle, pending_claim_request &held);
    std::optional<wire::claim_reply> refusalReply(const pending_claim_request &held) const;
    wire::claim_reply unclaimedReply(const pending_claim_request &held) const;
    wire::claim_reply undecidedReply(const pending_claim_request &held, result_code code) const;
    void finish(reply_handle handle, wire::claim_reply reply);
    void expireRequests();
    void withdrawQueuedClaim(const pending_claim_request &held);
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
    void processSteps(const std::vector<fold_step> &steps);
    void startRead();
    bool needsRead() const;
    bool needsRefresh() const;
    void delayAppend(duration atLeast);
    void delayRead();
    void begin(const clock_reading &at);
    coordinator_actions end();

    coordinator_settings m_settings;
    std::mt19937_64 m_random;
    stream_reader m_reader;
    pending_claim_requests m_requests;
    pending_reports m_reports;
    response_cache m_responses;
    dispatcher_failure_detector m_failureDetector;
    snapshot_writer m_snapshots;
    std::map<claim_identity, wire::claim_entry> m_queue; /**< Claims for the next batch, oldest key first. */
    std::vector<reply_handle> m_barriers; /**< Requests that wait for the next batch. */
    batch_in_flight m_batch;
    coordinator_actions m_actions;
    clock_reading m_at;
    bool m_isActive = false;
    bool m_isAppending = false; /**< An append call is outstanding. */
    bool m_isReading = false; /**< A read call is outstanding. */
    std::int64_t m_appendingBatch = 0; /**< Batch that the outstanding call is about. */
    time_point m_appendAt{}; /**< Earliest start of the next append. */
    time_point m_readAt{}; /**< Earliest start of the next read. */
    time_point m_contactAt{}; /**< Last answer of the log. */
    time_point m_housekeepingAt{};
    duration m_appendDelay{}; /**< Present back-off of appends. */
    duration m_readDelay{}; /**< Present back-off of reads. */
    wall_time m_newestRequested{}; /**< Creation time of the newest key that was asked for and does not lie in the future. */
    std::uint64_t m_appends = 0;
    std::uint64_t m_appendedBytes = 0;
};

} // namespace parsleyglade
