#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace parsleyglade {

/** Work that waits for the executors of a service, and their capacity for it. */
struct service_load
{
    double waitingMillicoreMilliseconds = 0.0; /**< Of the tasks that could start if there was capacity. */
    std::int64_t capacityMillicores = 0; /**< Of the executors that accept work, without what long-running tasks reserve. */
};

/**
 * Decides which submissions to refuse during a burst that exceeds the capacity of a pool. Accepting them all makes most jobs late: each waits
 * behind work that has become late itself. A job whose expected wait exceeds the slack of its objective is refused at once, with the time after
 * which the backlog will have shrunk enough.
 */
class admission_control
{
public:
    /** Replaces the known loads, by service. */
    void update(std::map<std::string, service_load> loads);

    /** Adds work that was accepted since the last update. */
    void addAccepted(const std::string &service, double millicoreMilliseconds);

    /** Sets the delay that the control path adds to each job at its present load. */
    void setControlDelay(duration delay);

    /** Returns the time that new work of the service waits for capacity and for the control path; that for capacity is zero if nothing is known about the
     * service. */
    duration expectedWait(const std::string &service) const;

    /** Decides about a job. @param slack longest wait with which the job still meets its objective
        @param caller any text of the caller's; spreads the returns of different callers
        @return the time after which the caller may retry, or nothing if the job should be accepted */
    std::optional<duration> findRetryDelay(const std::string &service, duration slack, const std::string &caller) const;

private:
    duration m_controlDelay{};
    std::map<std::string, service_load> m_loads;
};

} // namespace parsleyglade
