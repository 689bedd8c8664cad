#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "placement/queued_job.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace parsleyglade {

/**
 * Jobs of one urgency and class, taken in turn from their callers by deficit round robin (Shreedhar and Varghese).
 *
 * A job costs its expected run time. Each turn grants a caller the quantum times its share, so callers that always have jobs waiting receive work in
 * the ratio of their shares, to within one quantum and one job. Jobs of one caller leave in the order of arrival.
 */
class deficit_round_robin
{
public:
    using position = std::list<queued_job>::iterator;

    /** @pre quantum > 0 */
    explicit deficit_round_robin(duration quantum);
    deficit_round_robin(const deficit_round_robin &) = delete;
    deficit_round_robin &operator=(const deficit_round_robin &) = delete;
    deficit_round_robin(deficit_round_robin &&) = default;

    /** Appends a job to its caller's jobs. The position stays valid until the job leaves. @pre share > 0 */
    position push(const queued_job &job, double share);

    /** Takes the next job. @pre !isEmpty() */
    queued_job pop();

    /** Removes a job wherever it waits. */
    queued_job remove(position job);

    /** The job that has waited longest. @pre !isEmpty() */
    const queued_job &oldest() const;

    bool isEmpty() const
    {
        return m_size == 0;
    }

    std::size_t size() const
    {
        return m_size;
    }

    std::size_t sizeOf(caller_id caller) const;

    /** Sum of the shares of the callers that have jobs here. */
    double activeShares() const
    {
        return m_activeShares;
    }

private:
    struct backlog
    {
        caller_id caller{};
        double share = 1.0;
        double deficitSeconds = 0.0;
        std::list<queued_job> jobs;
    };

    using ring = std::list<backlog>;

    void advance();
    void grantUntilOneIsServed();
    void removeCaller(ring::iterator entry);

    double m_quantumSeconds;
    ring m_ring; /**< Callers with jobs; the front has its turn. */
    std::unordered_map<caller_id, ring::iterator> m_callers;
    bool m_granted = false; /**< Whether the front has received its quantum for this turn. */
    std::size_t m_size = 0;
    double m_activeShares = 0.0;
};

} // namespace parsleyglade
