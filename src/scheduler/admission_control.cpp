#include "scheduler/admission_control.h"

#include <algorithm>
#include <functional>

namespace parsleyglade {

namespace {

constexpr duration minimumRetryDelay = std::chrono::milliseconds{500};

} // namespace

void admission_control::update(std::map<std::string, service_load> loads)
{
    m_loads = std::move(loads);
}

void admission_control::addAccepted(const std::string &service, double millicoreMilliseconds)
{
    const auto found = m_loads.find(service);
    if (found != m_loads.end() && found->second.waitingMillicoreMilliseconds > 0.0) {
        found->second.waitingMillicoreMilliseconds += millicoreMilliseconds;
    }
}

void admission_control::setRoundDelay(duration delay)
{
    m_roundDelay = delay;
}

void admission_control::setStartDelay(duration delayPerStart, duration presentDelay)
{
    m_delayPerStart = delayPerStart;
    m_presentStartDelay = presentDelay;
}

duration admission_control::controlDelay(int startsInSequence) const
{
    return std::max({m_roundDelay, m_delayPerStart * startsInSequence, m_presentStartDelay});
}

duration admission_control::expectedWait(const std::string &service) const
{
    const auto found = m_loads.find(service);
    if (found == m_loads.end() || found->second.capacityMillicores <= 0) {
        return duration::zero();
    }
    const std::chrono::duration<double, std::milli> wait{found->second.waitingMillicoreMilliseconds / static_cast<double>(found->second.capacityMillicores)};
    return std::chrono::duration_cast<duration>(wait);
}

std::optional<duration> admission_control::findRetryDelay(const std::string &service, duration capacityLimit, duration controlLimit, const std::string &caller,
                                                          int startsInSequence) const
{
    const duration excess = std::max(expectedWait(service) - capacityLimit, controlDelay(startsInSequence) - controlLimit);
    if (excess <= duration::zero()) {
        return std::nullopt;
    }
    const duration delay = std::max(excess, minimumRetryDelay);
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>{}(caller) % static_cast<std::size_t>(delay.count()));
    return delay + duration{spread};
}

} // namespace parsleyglade
