#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Estimates how long messages were under way between two hosts whose steady clocks have different origins: a message is delayed by as much as its
    difference between the times of receipt and of sending exceeds the smallest recent one. */
class clock_offset
{
public:
    /** Adds a message and returns its delay beyond that of the quickest recent message.
        @param sentAt on the sender's clock */
    duration addMessage(time_point sentAt, time_point receivedAt);

private:
    /** Differences are forgotten after one to two of these, because the rates of the clocks may differ by up to 2 %. */
    static constexpr duration windowLength = std::chrono::seconds{5};

    time_point m_windowEnd{};
    duration m_previousMinimum = duration::max();
    duration m_minimum = duration::max();
};

} // namespace parsleyglade
