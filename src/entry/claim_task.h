#pragma once

#include "entry/entry_settings.h"
#include "entry/peer_task.h"
#include "external/external.h"
#include "jobs/jobs.h"

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace parsleyglade {

/**
 * Client and server side of claims. Selects a coordinator for each claim stream among the entry hosts that reach the log, runs the
 * coordinators that are selected on this host, and sends claims and result reports to the coordinator of their stream, here or on another
 * entry host. Owns the local coordinators.
 */
class claim_task : public peer_task::listener
{
public:
    using claim_callback = std::function<void(const wire::claim_reply &)>;
    using report_callback = std::function<void(bool recorded)>;

    claim_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers);
    claim_task(const claim_task &) = delete;
    claim_task &operator=(const claim_task &) = delete;
    ~claim_task() override = default;

    /** Sets the predicate that tells whether this host reaches the log. Without one the log counts as unreachable. */
    void setLogReachable(std::function<bool()> isReachable);

    /** Ends all coordinator roles of this host permanently. Called during a graceful stop. */
    void resign();

    /** Returns the number of the claim stream that is responsible for a key. */
    std::int32_t streamOf(const job_key &key) const;

    /** Returns the entry host that coordinates a stream in this host's view, or an empty name when no live entry host reaches the log. */
    const std::string &coordinatorOf(std::int32_t stream) const;

    /**
     * Sends a claim to the coordinator of its stream. The callback runs exactly once. The claim is refused with coordinator_unreachable when
     * the coordinator does not reply, and with log_unavailable when there is none.
     */
    void claim(const wire::claim_request &request, claim_callback done);

    /** Reports a job's result to the coordinator of its stream. The callback's argument tells whether the log has recorded it. */
    void report(const wire::result_report &report, report_callback done);

    /** Handles a claim or result report of another entry host. Returns false, without a reply, for any other message. */
    bool serve(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply);

    /** Returns the status of each active local coordinator with the number of its stream. */
    std::vector<std::pair<std::int32_t, coordinator_status>> status() const;

    void heartbeatReceived(const peer_state &peer) override;
    void peerReplaced(incarnation_id former) override;

private:
    struct stream_state
    {
        std::string name;
        std::string coordinatorHost;
        std::unique_ptr<claim_coordinator> coordinator;
        timer_subscription wakeTimer;
    };

    clock_reading readClocks() const;
    void selectCoordinators();
    void claimLocally(std::int32_t stream, const wire::claim_request &request, claim_callback done);
    void reportLocally(std::int32_t stream, const wire::result_report &report, report_callback done);
    bool isServing(std::int32_t stream) const;
    void perform(std::int32_t stream, const coordinator_actions &actions);
    void append(std::int32_t stream, const append_action &action);
    void read(std::int32_t stream, const read_action &action);
    void scheduleWake(std::int32_t stream);

    event_loop &m_loop;
    log_client &m_log;
    peer_task &m_peers;
    std::vector<stream_state> m_streams;
    std::function<bool()> m_isLogReachable = [] {
        return false;
    };
    bool m_isResigned = false;
    std::uint64_t m_nextHandle = 1;
    std::unordered_map<reply_handle, claim_callback> m_claims;
    std::unordered_map<reply_handle, report_callback> m_reports;
    timer_subscription m_selectionTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"claims"};
};

} // namespace parsleyglade
