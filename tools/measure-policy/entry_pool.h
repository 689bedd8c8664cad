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

/** A decision to send a job to an endpoint. */
struct send_decision
{
    std::uint32_t job = 0;
    std::uint32_t endpoint = 0;
};

/** An entry host's count of its jobs in flight at one endpoint, as its peers receive it. */
struct load_report
{
    std::uint32_t endpoint = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t longInFlight = 0;
};

/** Drives the decision code for one pool at one entry host, as the daemon's tasks do. */
class entry_pool
{
public:
    entry_pool(const policy_choice &choice, std::uint64_t seed);

    /** Adds an endpoint of the pool. Work is placed only on local ones, those of the entry host's data centre. */
    void addEndpoint(std::uint32_t endpoint, bool isLocal, time_point now);

    /** Removes an endpoint with nothing in flight. */
    void removeEndpoint(std::uint32_t endpoint, time_point now);

    endpoint_view *find(std::uint32_t endpoint);

    /** Identifiers of the local endpoints. */
    std::span<const std::uint32_t> localEndpoints() const
    {
        return std::span(m_identifiers).first(m_localCount);
    }

    bool hasUsableEndpoint(time_point now) const;

    admission_decision offer(std::uint32_t id, const model_job &job, time_point now);

    std::vector<std::uint32_t> expire(time_point now);

    /** The next job that can be sent now; it counts as in flight. */
    std::optional<send_decision> sendNext(time_point now);

    /** Ends a job in flight that completed or failed. */
    void recordOutcome(std::uint32_t id, bool isSuccess, time_point now);

    /** Ends a job in flight that the endpoint refused to start. */
    void recordRefusal(std::uint32_t id);

    void countFirstAttempt()
    {
        m_retries.firstAttempt();
    }

    bool tryRetry(bool isIdempotent, attempt_evidence evidence)
    {
        return m_retries.tryRetry(isIdempotent, evidence);
    }

    /** Counts running jobs that have outgrown the short class as long ones. */
    void reclassifyRunning(time_point now);

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
    std::vector<endpoint_view> m_views; /**< Local endpoints first. */
    std::vector<std::uint32_t> m_identifiers;
    std::size_t m_localCount = 0;
    std::unordered_map<std::uint32_t, in_flight_job> m_inFlight;
    std::unordered_map<std::uint32_t, std::uint32_t> m_routes; /**< Of the jobs that wait. */
};

} // namespace parsleyglade
