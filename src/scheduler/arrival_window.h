#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <deque>

namespace parsleyglade {

/** Sliding window over arriving work. Reports the arrival rate and how fast the rate changes. Times must not decrease between calls. */
class arrival_window
{
public:
    /** @param length of the window; the rate is measured over its newer half and compared with its older half */
    explicit arrival_window(duration length)
        : m_length(length)
    {
    }

    /** Records an arrival. @param amount in any unit; rate() and slope() use the same unit */
    void add(time_point now, std::int64_t amount)
    {
        removeExpired(now);
        m_arrivals.push_back({now, amount});
        m_sum += amount;
    }

    /** Returns the amount that arrives per second, averaged over the newer half of the window. */
    double rate(time_point now)
    {
        removeExpired(now);
        return static_cast<double>(sumSince(now - m_length / 2)) / toSeconds(m_length / 2);
    }

    /** Returns the change of the rate per second, as the difference of the two halves of the window; negative when the rate falls. */
    double slope(time_point now)
    {
        removeExpired(now);
        const std::int64_t newer = sumSince(now - m_length / 2);
        const double rise = static_cast<double>(newer - (m_sum - newer)) / toSeconds(m_length / 2);
        return rise / toSeconds(m_length / 2);
    }

private:
    struct arrival
    {
        time_point when{};
        std::int64_t amount = 0;
    };

    std::int64_t sumSince(time_point since) const
    {
        std::int64_t sum = 0;
        for (auto item = m_arrivals.rbegin(); item != m_arrivals.rend() && item->when >= since; ++item) {
            sum += item->amount;
        }
        return sum;
    }

    void removeExpired(time_point now)
    {
        while (!m_arrivals.empty() && m_arrivals.front().when + m_length < now) {
            m_sum -= m_arrivals.front().amount;
            m_arrivals.pop_front();
        }
    }

    duration m_length;
    std::deque<arrival> m_arrivals;
    std::int64_t m_sum = 0;
};

} // namespace parsleyglade
