#pragma once

#include "jobs/jobs.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade::measure {

/** Virtual time and the events that happen in it. */
class virtual_time
{
public:
    time_point now() const
    {
        return m_now;
    }

    void after(duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, m_nextSequence++), std::move(event));
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
    std::uint64_t m_nextSequence = 0;
    std::map<std::pair<time_point, std::uint64_t>, std::function<void()>> m_events;
};

/** The platform's log: a limit of appends a second over all streams together, and a fixed time for each call. */
class virtual_log
{
public:
    /** @param burst appends that may come together before the limit applies */
    virtual_log(virtual_time &time, double appendsPerSecond, duration callDuration, double burst = 10);

    /** Appends a record, or refuses it with retryAfter when the limit is reached. */
    void append(int stream, const std::string &payload, const std::function<void(append_response)> &done);

    void read(int stream, log_offset from, std::size_t maximumRecords, const std::function<void(read_response)> &done);

    std::uint64_t appends() const;
    std::uint64_t refusals() const;
    std::uint64_t bytes() const;

private:
    bool takeToken();

    virtual_time &m_time;
    double m_rate;
    duration m_callDuration;
    double m_burst;
    double m_tokens;
    time_point m_refilledAt{};
    std::map<int, std::vector<std::string>> m_streams;
    std::uint64_t m_appends = 0;
    std::uint64_t m_refusals = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace parsleyglade::measure
