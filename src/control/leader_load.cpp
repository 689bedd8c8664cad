#include "control/leader_load.h"

namespace parsleyglade {

leader_load::scope::scope(leader_load &load, leader_part part)
    : m_part(load.m_parts.at(static_cast<std::size_t>(part)))
    , m_startedAt(processorTime())
{
    ++m_part.count;
}

leader_load::scope::~scope()
{
    m_part.processorTime += processorTime() - m_startedAt;
}

const leader_load::part_load &leader_load::part(leader_part part) const
{
    return m_parts.at(static_cast<std::size_t>(part));
}

void leader_load::addLoopDelay(duration delay)
{
    m_loopDelay += delay;
}

duration leader_load::loopDelay() const
{
    return m_loopDelay;
}

relay_counters &leader_load::relays()
{
    return m_relays;
}

const relay_counters &leader_load::relays() const
{
    return m_relays;
}

} // namespace parsleyglade
