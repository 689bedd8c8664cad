#include "fifo_queue.h"

#include <algorithm>

namespace parsleyglade {

result_code fifo_queue::offer(const queued_job &job)
{
    if (m_jobs.size() >= m_maximumJobs) {
        return result_code::queue_full;
    }

    m_jobs.push_back(job);
    return result_code::ok;
}

std::optional<queued_job> fifo_queue::takeNext()
{
    if (m_jobs.empty()) {
        return std::nullopt;
    }

    const queued_job job = m_jobs.front();
    m_jobs.pop_front();
    return job;
}

std::vector<queued_job> fifo_queue::expire(time_point now)
{
    std::vector<queued_job> expired;
    std::copy_if(m_jobs.begin(), m_jobs.end(), std::back_inserter(expired), [now](const queued_job &job) { return job.deadline < now; });
    std::erase_if(m_jobs, [now](const queued_job &job) { return job.deadline < now; });
    return expired;
}

} // namespace parsleyglade
