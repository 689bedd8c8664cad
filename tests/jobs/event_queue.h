#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace parsleyglade::testing {

/** Virtual clock and its scheduled events. */
class event_queue
{
public:
    time_point now() const
    {
        return m_now;
    }

    /** Schedules an event. Events of the same time run in the order in which they were scheduled. */
    void after(duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, m_next++), std::move(event));
    }

    /** Runs all events up to and including the given time and sets the clock to it. */
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

/** Source of the random choices of a trial. */
class trial_random
{
public:
    explicit trial_random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /** Returns a number in [0, bound). */
    std::uint64_t below(std::uint64_t bound)
    {
        return m_engine() % bound;
    }

    /** Returns true with a probability of 1/count. */
    bool oneIn(std::uint64_t count)
    {
        return below(count) == 0;
    }

    /** Returns a duration in [0, bound). */
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
