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
 * Jobs that wait for a slot of one pool at one entry host.
 *
 * There is one lane for each urgency and class. Urgent lanes go first, but after admission_settings::maximumUrgentInRow urgent jobs in a row one normal job is
 * taken. Between short and long jobs the one that waited longest in proportion to its expected run time goes first (highest response ratio next).
 * Within a lane, callers take turns by share.
 */
class admission_queue
{
public:
    explicit admission_queue(admission_settings settings = {});
    admission_queue(const admission_queue &) = delete;
    admission_queue &operator=(const admission_queue &) = delete;

    /** Sets a caller's share for jobs that arrive from now on; 1 when never set. @pre share > 0 */
    void setShare(caller_id caller, double share);

    /** Accepts the job, or refuses it with a time to retry. @pre no job with this id waits */
    admission_decision offer(const queued_job &job, time_point now, std::mt19937_64 &random);

    /** The next job of a class for which a slot is free; nothing when none waits. The job leaves the queue. */
    std::optional<queued_job> take(job_class_set free, time_point now);

    /** Removes a job; false when it does not wait here. */
    bool cancel(std::uint64_t id);

    /** Removes and returns the jobs that can no longer complete by their deadline if they run as long as expected. */
    std::vector<queued_job> expire(time_point now);

    /** Time at which expire should be called next; nothing when the queue is empty. */
    std::optional<time_point> nextExpiry() const;

    /** Arrival of the job of a class that has waited longest. */
    std::optional<time_point> oldestArrival(job_class jobClass) const;

    /** Time for which a further job is expected to wait; nothing while unknown. */
    std::optional<duration> expectedWait(const queued_job &job, time_point now) const;

    std::size_t size() const
    {
        return m_locations.size();
    }

    bool isEmpty() const
    {
        return m_locations.empty();
    }

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
        std::array<std::size_t, laneCount> waiting{}; /**< By lane: a caller's normal jobs must not take the places of its urgent ones. */
        std::vector<drain_rate> drainRates; /**< By lane: a caller that sends more than its share waits longer than the others. */
    };

    static std::size_t laneOf(urgency_class urgency, job_class jobClass);
    result_code check(const queued_job &job, time_point now) const;
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
    std::array<std::size_t, jobClassCount> m_waiting{}; /**< By class: waiting long jobs must not take the places of short ones. */
    std::size_t m_urgentInRow = 0;
    double m_accepted = 0.0;
    double m_refused = 0.0;
    time_point m_countedAt{};
};

} // namespace parsleyglade
