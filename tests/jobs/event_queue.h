#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace parsleyglade::testing {

/** Virtual time and the events that happen in it. */
class event_queue
{
public:
    time_point now() const
    {
        return m_now;
    }

    void after(duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, m_next++), std::move(event));
    }

    void runUntil(time_point end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            auto node = m_events.extract(m_events.begin());
            m_now = node.key().first;
            node.mapped()();
        }
        m_now = end;
    }

private:
    time_point m_now{};
    std::uint64_t m_next = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_events;
};

/** Random choices of a trial. */
class trial_random
{
public:
    explicit trial_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** A number from 0 to below the bound. */
    std::uint64_t below(std::uint64_t bound)
    {
        return m_engine() % bound;
    }

    bool oneIn(std::uint64_t count)
    {
        return below(count) == 0;
    }

    duration upTo(duration bound)
    {
        return duration{static_cast<duration::rep>(below(static_cast<std::uint64_t>(bound.count())))};
    }

    std::mt19937_64 &engine()
    {
        return m_engine;
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace parsleyglade::testing
