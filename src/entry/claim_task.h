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

/** Runs the coordinators of the claim streams that this entry host serves, and sends claims and reports to the coordinator of
    their stream, wherever it is. Owns the coordinators. */
class claim_task : public peer_task::listener
{
public:
    using claim_callback = std::function<void(const wire::claim_reply &)>;
    using report_callback = std::function<void(bool recorded)>;

    claim_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers);
    claim_task(const claim_task &) = delete;
    claim_task &operator=(const claim_task &) = delete;
    ~claim_task() override = default;

    /** Sets who says whether this host reaches the log. */
    void setLogReachable(std::function<bool()> isReachable);

    /** Stops serving as coordinator, for a graceful stop. */
    void resign();

    /** Stream of a key. */
    std::int32_t streamOf(const job_key &key) const;

    /** The entry host that is coordinator of a stream in this host's view; empty when none reaches the log. */
    const std::string &coordinatorOf(std::int32_t stream) const;

    /** Asks the coordinator. The callback runs once; a coordinator that can't be reached is a refusal with coordinator_unreachable. */
    void claim(const wire::claim_request &request, claim_callback done);

    /** Reports a result to the coordinator. The callback says whether the log has it. */
    void report(const wire::result_report &report, report_callback done);

    /** Answers a claim or report of another entry host. Returns whether the message was one. */
    bool serve(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply);

    /** The coordinators' figures, by stream; active ones only. */
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

    moment readClocks() const;
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
