#pragma once

#include "core/result_code.h"
#include "placement/queued_job.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace parsleyglade {

/** The baseline's queue: one bounded line in order of arrival. Jobs leave it for an endpoint or at their deadline. */
class fifo_queue
{
public:
    explicit fifo_queue(std::size_t maximumJobs)
        : m_maximumJobs(maximumJobs)
    {
    }

    result_code offer(const queued_job &job);
    std::optional<queued_job> take();
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
