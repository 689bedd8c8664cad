#include "control/clock_offset.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

duration clock_offset::addMessage(time_point sentAt, time_point receivedAt)
{
    const duration difference = receivedAt - sentAt;
    if (receivedAt >= m_windowEnd) {
        m_windowEnd = receivedAt + windowLength;
        m_previousMinimum = std::exchange(m_minimum, duration::max());
    }
    m_minimum = std::min(m_minimum, difference);
    return difference - std::min(m_minimum, m_previousMinimum);
}

} // namespace parsleyglade
