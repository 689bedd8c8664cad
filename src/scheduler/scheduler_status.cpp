#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

const scheduler_counters &scheduler::counters() const
{
    return m_counters;
}

service_counters &scheduler::countersOf(const std::string &service)
{
    return m_counters.services[service];
}

/** Returns the counters of the service that the job's queue belongs to. Jobs of a queue that is no longer configured count under an empty name. */
service_counters &scheduler::countersOf(const scheduled_job &job)
{
    const queue_policy *queue = queueOf(job);
    return countersOf(queue == nullptr ? std::string() : queue->service);
}

void scheduler::countStart(scheduled_job &job, time_point now)
{
    service_counters &counters = countersOf(job);
    ++counters.starts;
    if (job.awaitsStartSince) {
        ++counters.startedJobs;
        counters.startDelay += now - *job.awaitsStartSince;
        job.awaitsStartSince.reset();
    }
}

std::map<std::string, service_status> scheduler::serviceStatuses(time_point now) const
{
    std::map<std::string, service_status> statuses;
    for (const auto &[id, executor] : m_executors) {
        if (executor.isSchedulable(now)) {
            service_status &status = statuses[executor.description.service];
            ++status.executors;
            status.freeMillicores += executor.availableCapacity().cpuMillicores;
        }
    }
    for (const scheduled_job *job : m_active) {
        const queue_policy *queue = job->mayHaveWaitingTasks ? queueOf(*job) : nullptr;
        if (queue == nullptr) {
            continue;
        }
        service_status &status = statuses[queue->service];
        for (std::size_t occurrence = 0; occurrence < job->occurrences.size(); ++occurrence) {
            for (std::size_t step = 0; step < job->work.steps.size(); ++step) {
                const std::int64_t waiting = countReadyTasks(*job, static_cast<int>(occurrence), static_cast<int>(step));
                status.waitingTasks += waiting;
                status.waitingMillicores += waiting * reservedBy(job->work.steps[step]).cpuMillicores;
            }
        }
    }
    return statuses;
}

} // namespace parsleyglade
