#pragma once

#include "core/result_code.h"
#include "placement/queued_job.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace parsleyglade {

/**
 * Queue of the baseline policies: a bounded queue in order of arrival, without classes or a share for each caller.
 *
 * Jobs stay queued until they are taken for an endpoint or their deadline passes. Not thread-safe.
 */
class fifo_queue
{
public:
    explicit fifo_queue(std::size_t maximumJobs)
        : m_maximumJobs(maximumJobs)
    {
    }

    /** Queues the job. Returns queue_full if the queue already has the maximum number of jobs. */
    result_code offer(const queued_job &job);
    /** Removes and returns the oldest job; nullopt if the queue is empty. */
    std::optional<queued_job> takeNext();
    /** Removes and returns the jobs whose deadline has passed. */
    std::vector<queued_job> expire(time_point now);

    bool isEmpty() const
    {
        return m_jobs.empty();
    }

    std::size_t size() const
    {
        return m_jobs.size();
    }

private:
    std::size_t m_maximumJobs;
    std::deque<queued_job> m_jobs;
};

} // namespace parsleyglade
