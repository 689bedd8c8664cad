#include "jobs/dispatcher_failure_detector.h"

namespace parsleyglade {

namespace {

// An entry host has one incarnation at a time, so more dispatchers than this include processes that exited long ago.
constexpr std::size_t maximumTrackedDispatchers = 4'096;

} // namespace

dispatcher_failure_detector::dispatcher_failure_detector(duration lostTimeout)
    : m_lostTimeout(lostTimeout)
{
}

void dispatcher_failure_detector::observe(time_point now)
{
    const duration pause = now - m_observedAt;
    if (m_hasObserved && pause > m_lostTimeout / 4) {
        for (auto &[dispatcher, last] : m_activity) {
            last.lastActivityAt += pause;
        }
    }

    m_hasObserved = true;
    m_observedAt = now;
    if (m_activity.size() > maximumTrackedDispatchers) {
        std::erase_if(m_activity, [&](const auto &item) { return now - item.second.lastActivityAt > 2 * m_lostTimeout; });
    }
}

void dispatcher_failure_detector::recordActivity(incarnation_id dispatcher, time_point now)
{
    m_activity[dispatcher] = {now, false};
}

void dispatcher_failure_detector::recordExit(incarnation_id dispatcher)
{
    m_activity[dispatcher].hasExited = true;
}

bool dispatcher_failure_detector::isLost(incarnation_id dispatcher, time_point now)
{
    const auto [found, isNew] = m_activity.try_emplace(dispatcher, dispatcher_activity{now, false});
    return found->second.hasExited || now - found->second.lastActivityAt > m_lostTimeout;
}

} // namespace parsleyglade
