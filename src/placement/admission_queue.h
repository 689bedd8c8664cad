#pragma once

#include "core/time_types.h"
#include "placement/admission_decision.h"
#include "placement/admission_settings.h"
#include "placement/deficit_round_robin.h"
#include "placement/drain_rate.h"
#include "placement/job_class_set.h"
#include "placement/queued_job.h"
#include "placement/retry_after_policy.h"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleyglade {

/**
 * Queue of the jobs that wait for a slot of one pool at one entry host.
 *
 * The queue has one lane for each combination of urgency and job class. Urgent lanes have priority, but after
 * admission_settings::maximumUrgentInRow consecutive urgent jobs one normal job is taken. Between short and long jobs, the one with the
 * longest wait in proportion to its expected run time is taken (highest response ratio next). Within a lane, callers are served in
 * proportion to their shares. Not thread-safe. @see deficit_round_robin
 */
class admission_queue
{
public:
    explicit admission_queue(admission_settings settings = {});
    admission_queue(const admission_queue &) = delete;
    admission_queue &operator=(const admission_queue &) = delete;

    /** Sets a caller's relative share of the capacity for jobs offered from now on. The default is 1. @pre share > 0 */
    void setShare(caller_id caller, double share);

    /** Queues the job, or refuses it with a reason and the time after which the caller may retry. @pre no queued job has this id */
    admission_decision offer(const queued_job &job, time_point now, std::mt19937_64 &random);

    /** Removes and returns the next job of the classes for which a slot is free; nullopt if there is none. */
    std::optional<queued_job> takeNext(job_class_set free, time_point now);

    /** Removes a job. Returns false if it is not queued here. */
    bool cancel(std::uint64_t id);

    /** Removes and returns the jobs that can no longer meet their deadline if they run for the expected time. */
    std::vector<queued_job> expire(time_point now);

    /** Time after which expire() has a job to remove; nullopt if the queue is empty. */
    std::optional<time_point> nextExpiry() const;

    /** Arrival time of the oldest queued job of a class; nullopt if there is none. */
    std::optional<time_point> oldestArrival(job_class jobClass) const;

    /** Expected wait of the job if it were queued now; nullopt until enough jobs have left the queue to estimate it. */
    std::optional<duration> expectedWait(const queued_job &job, time_point now) const;

    std::size_t size() const
    {
        return m_locations.size();
    }

    bool isEmpty() const
    {
        return m_locations.empty();
    }

    /** Number of queued jobs of a caller. */
    std::size_t sizeOf(caller_id caller) const;

private:
    static constexpr std::size_t laneCount = urgencyClassCount * jobClassCount;

    struct location
    {
        std::size_t lane = 0;
        deficit_round_robin::position position;
    };

    struct caller_state
    {
        double share = 1.0;
        std::array<std::size_t, laneCount> waiting{}; /**< By lane, so that a caller's normal jobs do not use up the limit of its urgent ones. */
        std::vector<drain_rate> drainRates; /**< By lane, because a caller that sends more than its share waits longer than the others. */
    };

    static std::size_t laneOf(urgency_class urgency, job_class jobClass);
    result_code checkAdmission(const queued_job &job, time_point now) const;
    double capacityFor(const queued_job &job, std::size_t maximum) const;
    std::size_t callerLimit(double share, const queued_job &job) const;
    void addToCounts(const queued_job &job);
    caller_state &stateOf(caller_id caller);
    double shareOf(caller_id caller) const;
    std::optional<std::size_t> bestLane(urgency_class urgency, job_class_set free, time_point now) const;
    std::optional<std::size_t> nextLane(job_class_set free, time_point now);
    void updateExcessLoad(bool isRefused, time_point now);
    void removeFromCounts(const queued_job &job);
    queued_job removeJob(std::uint64_t id);

    admission_settings m_settings;
    retry_after_policy m_retryAfter;
    std::vector<deficit_round_robin> m_lanes;
    std::vector<drain_rate> m_drainRates;
    std::unordered_map<std::uint64_t, location> m_locations;
    std::unordered_map<caller_id, caller_state> m_callers;
    std::set<std::pair<time_point, std::uint64_t>> m_expiries;
    std::array<std::size_t, jobClassCount> m_waiting{}; /**< By class, so that queued long jobs do not use up the limit of short ones. */
    std::size_t m_urgentInRow = 0;
    double m_accepted = 0.0;
    double m_refused = 0.0;
    time_point m_countedAt{};
};

} // namespace parsleyglade
