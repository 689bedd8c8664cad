#pragma once

#include "entry/claim_task.h"
#include "entry/dispatch_task.h"
#include "entry/entry_settings.h"
#include "entry/job.h"
#include "entry/peer_task.h"
#include "jobs/jobs.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace parsleyglade {

/**
 * Manages the lifecycle of jobs from acceptance to outcome: claim, dispatch, retries, forwarding to other data centres and cancellation.
 * Owns the dispatcher and the tracker of this incarnation's attempts.
 */
class job_task : private dispatch_task::listener
{
public:
    using outcome_callback = std::function<void(const job_outcome &)>;

    /** Observes each reported outcome, for metrics and reports. @param elapsed time since the job's arrival */
    using end_observer = std::function<void(const job &ended, const job_outcome &outcome, duration elapsed)>;

    job_task(event_loop &loop, const entry_settings &settings, peer_task &peers, claim_task &claims, fleet_task &fleet, endpoint_task &endpoints);
    job_task(const job_task &) = delete;
    job_task &operator=(const job_task &) = delete;
    ~job_task() override = default;

    /** Returns the dispatcher of jobs. */
    dispatch_task &dispatch();
    const dispatch_task &dispatch() const;

    /** Sets the tables in force. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** Sets the observer of reported outcomes. */
    void setEndObserver(end_observer observer);

    /** Accepts a job. Its `done` callback runs exactly once, possibly before the call returns. */
    void submit(const std::shared_ptr<job> &submitted);

    /** Looks up the state of a caller's job by its key, without starting it. */
    void query(const job_key &key, caller_id caller, outcome_callback done);

    /** Cancels a caller's job on the entry host that dispatches it. A job that is already running is asked to stop if its route is cancellable. */
    void cancel(const job_key &key, caller_id caller, outcome_callback done);

    /** Handles forwarded jobs and cancellations of other entry hosts. Returns false, without a reply, for any other message. */
    bool serve(wire::peer_message &message, const peer_server::reply_function &reply);

    /** Rejects new jobs and ends those that were not sent yet. */
    void stopAccepting();

    /** Whether no job is in flight and every result has been reported to its coordinator. */
    bool isIdle() const;

    /** Returns the number of jobs that are accepted and have not ended. */
    std::size_t activeJobs() const;

private:
    struct active_job
    {
        std::shared_ptr<job> accepted;
        std::optional<wire::claim_request> claim;
        time_point claimDeadline{};
        timer_subscription claimRetry;
        timer_subscription responseTimer;
        bool hasResponse = false;
    };

    // dispatch_task::listener
    bool mayStart(job &starting) override;
    void sendEnded(const std::shared_ptr<job> &sent, const call_result &result) override;
    void jobExpired(const std::shared_ptr<job> &dropped) override;

    void beginClaim(const std::shared_ptr<job> &claimed);
    void requestClaim(std::uint64_t id);
    void claimReplyReceived(std::uint64_t id, const wire::claim_reply &reply);
    void offer(const std::shared_ptr<job> &offered);
    void retryOrAbandon(const std::shared_ptr<job> &failed, attempt_evidence evidence, result_code code);
    void idempotentSendEnded(const std::shared_ptr<job> &sent, const call_result &result);
    void abandonJob(const std::shared_ptr<job> &abandoned, result_code code, duration retryAfter = {});
    void applyDecision(const std::shared_ptr<job> &decided, const attempt_decision &decision, const job_outcome &details);
    void finish(const std::shared_ptr<job> &ended, const job_outcome &outcome);
    void respond(active_job &active, const job_outcome &outcome);
    void handleDeadline(std::uint64_t id);
    void forwardToPeer(const std::shared_ptr<job> &forwarded, int attemptsLeft);
    std::vector<std::string> peersWithPool(const std::string &pool) const;
    void serveForward(const wire::forward_request &forward, const peer_server::reply_function &reply);
    cancel_decision cancelLocally(const claim_identity &identity);
    void requestEndpointsToStop(const std::vector<attempt_id> &attempts);
    void sendReports();
    std::shared_ptr<job> jobOf(attempt_id attempt) const;

    event_loop &m_loop;
    const entry_settings &m_settings;
    peer_task &m_peers;
    claim_task &m_claims;
    attempt_tracker m_attemptTracker;
    dispatch_task m_dispatch;
    std::shared_ptr<const tables> m_tables = std::make_shared<tables>();
    std::map<std::uint64_t, active_job> m_jobs;
    std::map<attempt_id, std::uint64_t> m_byAttempt;
    end_observer m_observer = [](const job &, const job_outcome &, duration) {
    };
    std::uint64_t m_nextId = 1;
    bool m_isStopping = false;
    timer_subscription m_reportTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"job"};
};

} // namespace parsleyglade
