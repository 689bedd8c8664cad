#pragma once

#include "fifo_queue.h"
#include "model_job.h"
#include "policy_choice.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

namespace parsleyglade {

/** Decision to send a job to an endpoint. */
struct send_decision
{
    std::uint32_t job = 0;
    std::uint32_t endpoint = 0;
};

/** Number of an entry host's jobs in flight at one endpoint, as reported to its peers. */
struct load_report
{
    std::uint32_t endpoint = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t longInFlight = 0;
};

/**
 * Runs the placement and admission code for one pool at one entry host, as the tasks of the entry host daemon do.
 *
 * Jobs are named by their index in the workload, endpoints by their index in the simulation. Times are virtual and must not decrease between
 * calls. Not thread-safe.
 */
class entry_pool
{
public:
    entry_pool(const policy_choice &choice, std::uint64_t seed);

    /** Adds an endpoint of the pool. Jobs are sent only to local endpoints, which are in the entry host's data centre. */
    void addEndpoint(std::uint32_t endpoint, bool isLocal, time_point now);

    /** Removes an endpoint. @pre it belongs to the pool and has no jobs in flight */
    void removeEndpoint(std::uint32_t endpoint, time_point now);

    /** Returns the view of an endpoint; null if it doesn't belong to the pool. Valid until an endpoint is added or removed. */
    endpoint_view *find(std::uint32_t endpoint);

    /** Returns the identifiers of the local endpoints. */
    std::span<const std::uint32_t> localEndpoints() const
    {
        return std::span(m_identifiers).first(m_localCount);
    }

    /** Returns whether a local endpoint was probed recently and is neither leaving nor ejected. */
    bool hasUsableEndpoint(time_point now) const;

    /** Queues the job, or refuses it with a reason and the time after which the caller may retry. */
    admission_decision offer(std::uint32_t id, const model_job &job, time_point now);

    /** Removes the queued jobs that can no longer meet their deadline and returns their identifiers. */
    std::vector<std::uint32_t> expire(time_point now);

    /** Removes the next job from the queue and counts it as in flight; nullopt if no job can be sent now. */
    std::optional<send_decision> sendNext(time_point now);

    /** Records that a job in flight completed or failed. */
    void recordOutcome(std::uint32_t id, bool isSuccess, time_point now);

    /** Records that the endpoint refused to start a job in flight. */
    void recordRefusal(std::uint32_t id);

    /** Adds a first attempt to the retry budget. */
    void countFirstAttempt()
    {
        m_retries.recordFirstAttempt();
    }

    /** Returns whether the retry budget allows another attempt, and if so deducts it. */
    bool tryRetry(bool isIdempotent, attempt_evidence evidence)
    {
        return m_retries.tryRetry(isIdempotent, evidence);
    }

    /** Counts jobs in flight as long ones when they have run longer than the short class allows. */
    void reclassifyRunning(time_point now);

    /** Appends a report for each local endpoint. */
    void collectLoads(std::vector<load_report> &loads) const;

    std::size_t queued() const;

    std::size_t inFlight() const
    {
        return m_inFlight.size();
    }

private:
    struct in_flight_job
    {
        std::uint32_t endpoint = 0;
        std::uint32_t route = 0;
        job_class jobClass = job_class::short_job;
        duration expected{};
        time_point sentAt{};
    };

    queued_job makeQueuedJob(std::uint32_t id, const model_job &job, time_point now) const;
    std::span<const endpoint_view> localViews() const;
    std::optional<std::size_t> select(job_class jobClass, duration waited, time_point now);
    send_decision send(const queued_job &job, std::size_t index, time_point now);
    std::optional<send_decision> sendNextAdmitted(admission_queue &queue, time_point now);

    policy_choice m_choice;
    std::mt19937_64 m_random;
    run_time_estimator m_runTimes;
    endpoint_ejector m_ejector;
    retry_budget m_retries;
    std::variant<admission_queue, fifo_queue> m_queue;
    std::vector<endpoint_view> m_views; /**< Local endpoints first; in the order of m_identifiers. */
    std::vector<std::uint32_t> m_identifiers;
    std::size_t m_localCount = 0;
    std::unordered_map<std::uint32_t, in_flight_job> m_inFlight;
    std::unordered_map<std::uint32_t, std::uint32_t> m_routes; /**< Routes of the queued jobs, by job. */
};

} // namespace parsleyglade
