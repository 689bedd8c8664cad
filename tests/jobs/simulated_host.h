#pragma once

#include "job_simulation.h"

namespace parsleyglade::testing {

/** A simulated entry host that runs the real claim_coordinator and attempt_tracker. */
class simulated_host
{
public:
    simulated_host(job_simulation &simulation, int index);

    /** Handles a request of a caller, given by its number in the simulation. */
    void submit(std::size_t request);

    /** Handles a cancellation by a caller. */
    void cancel(const claim_identity &identity);

    /** Schedules an event of this process. A frozen process runs it after resuming; a process killed in the meantime never runs it. */
    void post(duration delay, std::function<void()> event);

    /** Kills the process and starts a new incarnation. */
    void kill();

    /** Delays all events of the process for the given time or until resume(). */
    void freeze(duration time);

    void resume();

    /** Sets the offset of the wall clock from the simulated time. */
    void jumpClock(std::chrono::milliseconds offset);

    /** Sets the host that this host considers the coordinator. */
    void setView(int coordinator);

    // Messages from other hosts.
    void receiveClaim(int from, attempt_id attempt, const wire::claim_request &request);
    void receiveReply(attempt_id attempt, const wire::claim_reply &reply);
    void receiveReport(int from, const wire::result_report &report);
    void receiveHeartbeat(incarnation_id dispatcher);

    /** Queries the state of a job at this host's coordinator. */
    void query(const claim_identity &identity, std::function<void(const wire::claim_reply &)> done);

    std::uint64_t generation() const;
    const attempt_tracker &tracker() const;
    const claim_coordinator &coordinator() const;

private:
    clock_reading at() const;
    void begin();
    void perform(const coordinator_actions &actions);
    void performAction(const append_action &action);
    void performAction(const read_action &action);
    void performAction(const reply_action &action);
    void performAction(const acknowledge_action &action);
    void scheduleWake();
    void requestClaim(attempt_id attempt, const wire::claim_request &request);
    void repeatClaim(attempt_id attempt);
    void applyDecision(attempt_id attempt, const attempt_decision &decision, const wire::kept_answer *response);
    void sendJob(attempt_id attempt);
    void contactEndpoint(attempt_id attempt);
    void sendReports();
    void sendHeartbeat();

    job_simulation &m_simulation;
    int m_index;
    int m_view = 0;
    std::uint64_t m_generation = 0;
    bool m_isFrozen = false;
    std::vector<std::function<void()>> m_backlog;
    std::chrono::milliseconds m_clockOffset{0};
    incarnation_id m_incarnation{};
    std::unique_ptr<claim_coordinator> m_coordinator;
    std::unique_ptr<attempt_tracker> m_tracker;
    std::uint64_t m_nextHandle = 1;
    std::map<reply_handle, std::function<void(const wire::claim_reply &)>> m_replies;
    std::map<reply_handle, std::function<void(bool)>> m_acknowledgements;
    std::map<attempt_id, std::size_t> m_requests;
    std::optional<time_point> m_wakeAt;
};

} // namespace parsleyglade::testing
