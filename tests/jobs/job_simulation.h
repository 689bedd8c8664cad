#pragma once

#include "claim_builder.h"
#include "jobs/jobs.h"
#include "simulated_log.h"

#include <array>
#include <memory>
#include <ostream>
#include <set>

namespace parsleyglade::testing {

class simulated_host;

/** Kind of an injected fault. */
enum class fault_kind {
    kill,
    freeze,
    partition_one_way,
    partition_both_ways,
    drop_requests_to_log,
    drop_responses_from_log,
    log_down,
    clock_jump,
    split_views,
    change_view,
    trim,
    cancel_wave,
    retry_wave,
};

/** A fault to inject into a trial. */
struct fault
{
    int kind = 0; /**< A fault_kind. */
    int atPercent = 0; /**< Start of the fault, in percent of job_simulation::activeTime. */
    int host = 0;
    int strength = 0; /**< 0 to 99; sets the duration of the fault, the other host or the clock offset. */
};

std::ostream &operator<<(std::ostream &stream, const fault &item);

/** Totals over all trials. */
struct trial_counts
{
    std::uint64_t trials = 0;
    std::uint64_t jobs = 0;
    std::uint64_t requests = 0;
    std::uint64_t executions = 0;
    std::uint64_t faults = 0;
    std::array<std::uint64_t, 5> replies{}; /**< Number of replies to callers, indexed by job_state. */
    std::uint64_t provisionalAfterRun = 0; /**< Provisional not_run replies for a key whose job had run. */
    std::uint64_t expired = 0; /**< Replies with key_expired. */
    std::uint64_t full = 0; /**< Replies with records_full. */
    std::uint64_t records = 0;
};

/** A simulated job and its executions. */
struct simulated_job
{
    claim_identity identity;
    std::vector<attempt_id> executions;
    std::vector<std::int64_t> fingerprints; /**< Request fingerprint of each execution. */
    std::optional<time_point> ranAt; /**< Time of the first execution. */
    int retries = 0;
};

/** A simulated request of a caller for a job. */
struct simulated_request
{
    std::size_t job = 0;
    std::int64_t fingerprint = 5;
    time_point submittedAt{};
    bool hasResponse = false;
};

/** Simulates entry hosts, a claim stream, endpoints and callers in virtual time, and checks all executions and replies. */
class job_simulation
{
public:
    static constexpr int hostCount = 3;
    static constexpr duration activeTime = std::chrono::seconds{30};

    job_simulation(std::uint64_t seed, int jobs);
    ~job_simulation();

    /** Runs the trial, removes all faults, lets the hosts settle and checks the final state. Adds the totals to the counts. */
    void run(const std::vector<fault> &faults, trial_counts &counts);

    /** Failed checks; empty if the trial passed. */
    const std::vector<std::string> &violations() const;

    // Interface for simulated_host.
    event_queue &events();
    trial_random &random();
    simulated_log &log();
    const coordinator_settings &settings() const;
    const simulated_request &request(std::size_t number) const;
    claim_identity identityOf(std::size_t request) const;
    void send(int from, int to, std::function<void(simulated_host &)> message);
    void execute(attempt_id attempt, std::size_t request);
    void handleDecision(std::size_t request, attempt_id attempt, const attempt_decision &decision, const wire::kept_answer *response);
    bool canReachLog(int host) const;
    bool canReceiveFromLog(int host) const;
    std::string bodyOf(std::size_t request, attempt_id attempt) const;

private:
    void plan(const std::vector<fault> &faults);
    void apply(const fault &fault);
    void partition(int from, int to, duration time);
    void submit(std::size_t job, int host);
    void retry(std::size_t job);
    void removeFaults();
    void checkEnd();
    void checkVerdict(const simulated_job &job, const wire::claim_reply &reply);
    void checkCompleted(std::size_t request, const wire::kept_answer *response);
    void addViolation(const simulated_job &job, const std::string &what);
    wall_time wall() const;

    event_queue m_events;
    trial_random m_random;
    simulated_log m_log;
    coordinator_settings m_settings;
    std::vector<simulated_job> m_jobs;
    std::vector<simulated_request> m_requests;
    std::vector<std::unique_ptr<simulated_host>> m_hosts;
    std::array<std::array<time_point, hostCount>, hostCount> m_partitionedUntil{};
    std::array<time_point, hostCount> m_logRequestsDroppedUntil{};
    std::array<time_point, hostCount> m_logResponsesDroppedUntil{};
    std::set<attempt_id> m_notRun;
    std::vector<std::string> m_violations;
    trial_counts m_counts;
    bool m_areFaultsRemoved = false;
};

} // namespace parsleyglade::testing
