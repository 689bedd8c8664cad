#include "jobs/dispatcher_watch.h"

namespace parsleyglade {

namespace {

// An entry host has one incarnation at a time, so this many belong to processes that ended long ago.
constexpr std::size_t maximumSigns = 4'096;

} // namespace

dispatcher_watch::dispatcher_watch(duration lostLimit)
    : m_lostLimit(lostLimit)
{
}

void dispatcher_watch::observe(time_point now)
{
    const duration pause = now - m_observedAt;
    if (m_hasObserved && pause > m_lostLimit / 4) {
        for (auto &[dispatcher, last] : m_signs) {
            last.heardAt += pause;
        }
    }

    m_hasObserved = true;
    m_observedAt = now;
    if (m_signs.size() > maximumSigns) {
        std::erase_if(m_signs, [&](const auto &item) { return now - item.second.heardAt > 2 * m_lostLimit; });
    }
}

void dispatcher_watch::heard(incarnation_id dispatcher, time_point now)
{
    m_signs[dispatcher] = {now, false};
}

void dispatcher_watch::gone(incarnation_id dispatcher)
{
    m_signs[dispatcher].isGone = true;
}

bool dispatcher_watch::isLost(incarnation_id dispatcher, time_point now)
{
    const auto [found, isNew] = m_signs.try_emplace(dispatcher, sign{now, false});
    return found->second.isGone || now - found->second.heardAt > m_lostLimit;
}

} // namespace parsleyglade
