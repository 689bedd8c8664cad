#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"
#include "placement/queued_job.h"

#include <cstddef>
#include <list>
#include <unordered_map>

namespace parsleyglade {

/**
 * Fair queue of the jobs of one urgency and class: serves the callers by deficit round robin (Shreedhar and Varghese).
 *
 * The cost of a job is its expected run time. In each turn a caller is granted the quantum times its share, so that callers that always
 * have jobs queued receive run time in proportion to their shares, to within one quantum and one job. The jobs of one caller leave in
 * order of arrival.
 */
class deficit_round_robin
{
public:
    /** Position of a queued job; valid until the job leaves the queue. */
    using position = std::list<queued_job>::iterator;

    /** @param quantum Run time granted in each turn to a caller of share 1. @pre quantum > 0 */
    explicit deficit_round_robin(duration quantum);
    deficit_round_robin(const deficit_round_robin &) = delete;
    deficit_round_robin &operator=(const deficit_round_robin &) = delete;
    deficit_round_robin(deficit_round_robin &&) = default;

    /**
     * Queues a job behind the other jobs of its caller.
     * @param share The caller's share. Used only if the caller has no jobs queued; it then applies until the caller has none again.
     * @pre share > 0
     */
    position push(const queued_job &job, double share);

    /** Removes and returns the next job. @pre !isEmpty() */
    queued_job pop();

    /** Removes and returns the job at a position. @pre the position is valid */
    queued_job remove(position job);

    /** The job with the earliest arrival among the callers' first jobs. @pre !isEmpty() */
    const queued_job &oldest() const;

    bool isEmpty() const
    {
        return m_size == 0;
    }

    std::size_t size() const
    {
        return m_size;
    }

    /** Number of queued jobs of a caller. */
    std::size_t sizeOf(caller_id caller) const;

    /** Sum of the shares of the callers that have jobs queued. */
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
    ring m_ring; /**< Callers with queued jobs; it is the turn of the front one. */
    std::unordered_map<caller_id, ring::iterator> m_callers;
    bool m_granted = false; /**< Whether the front caller has been granted its quantum for this turn. */
    std::size_t m_size = 0;
    double m_activeShares = 0.0;
};

} // namespace parsleyglade
