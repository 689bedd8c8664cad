#include "scheduler/admission_control.h"

#include <algorithm>
#include <functional>

namespace parsleyglade {

namespace {

constexpr duration minimumRetryDelay = std::chrono::milliseconds{500};

} // namespace

void service_load::add(const submitting_team &team, double startable, double held)
{
    if (team.isBeyondRate) {
        beyondRateMillicoreMilliseconds += startable;
        return;
    }
    waitingMillicoreMilliseconds += startable;
    if (startable > 0.0 || held > 0.0) {
        const auto [found, isNew] = teams.try_emplace(team.account);
        waitingWeight += isNew ? team.weight : 0.0;
        found->second.startable += startable;
        found->second.held += held;
    }
}

void admission_control::update(std::map<std::string, service_load> loads)
{
    m_loads = std::move(loads);
}

void admission_control::addAccepted(const std::string &service, const submitting_team &team, double millicoreMilliseconds)
{
    const auto found = m_loads.find(service);
    if (found != m_loads.end() && found->second.waitingMillicoreMilliseconds + found->second.beyondRateMillicoreMilliseconds > 0.0) {
        found->second.add(team, millicoreMilliseconds, 0.0);
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

duration admission_control::expectedWait(const std::string &service, const submitting_team &team) const
{
    const auto found = m_loads.find(service);
    if (found == m_loads.end() || found->second.capacityMillicores <= 0) {
        return duration::zero();
    }
    const service_load &load = found->second;
    const auto capacity = static_cast<double>(load.capacityMillicores);
    const double waiting = load.waitingMillicoreMilliseconds + (team.isBeyondRate ? load.beyondRateMillicoreMilliseconds : 0.0);
    double milliseconds = waiting / capacity;
    if (team.account != nullptr && !team.isBeyondRate) {
        const auto known = load.teams.find(team.account);
        const service_load::team_work own = known == load.teams.end() ? service_load::team_work{} : known->second;
        const double share = capacity * team.weight / (load.waitingWeight + (known == load.teams.end() ? team.weight : 0.0));
        if (static_cast<double>(team.account->used.cpuMillicores) < share) {
            milliseconds = std::min(milliseconds, own.startable / share);
        }
        if (own.held > 0.0) {
            milliseconds = std::max(milliseconds, (own.startable + own.held) / static_cast<double>(team.account->policy.cap.cpuMillicores));
        }
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{milliseconds});
}

std::optional<duration> admission_control::findRetryDelay(const std::string &service, const submitting_team &team, duration capacityLimit,
                                                          duration controlLimit, const std::string &caller, int startsInSequence) const
{
    const duration excess = std::max(expectedWait(service, team) - capacityLimit, controlDelay(startsInSequence) - controlLimit);
    if (excess <= duration::zero()) {
        return std::nullopt;
    }
    const duration delay = std::max(excess, minimumRetryDelay);
    const auto spread = static_cast<std::int64_t>(std::hash<std::string>{}(caller) % static_cast<std::size_t>(delay.count()));
    return delay + duration{spread};
}

} // namespace parsleyglade
