#pragma once

#include "jobs/jobs.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade::measure {

/** Virtual clock with a queue of scheduled events. */
class virtual_time
{
public:
    /** Current virtual time. */
    time_point now() const
    {
        return m_now;
    }

    /** Schedules an event. Events of the same time run in the order in which they were scheduled. */
    void after(duration delay, std::function<void()> event)
    {
        m_events.emplace(std::pair(m_now + delay, m_nextSequence++), std::move(event));
    }

    /** Runs all events that are due up to and including this time, also those that are scheduled meanwhile, and then advances the clock to it. */
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

/**
 * Model of the platform's log in virtual time: a token bucket limits the rate of appends over all streams, and each call has a fixed duration.
 * Callbacks run from virtual_time::runUntil(), never before append() or read() has returned.
 */
class virtual_log
{
public:
    /**
     * @param time Must outlive this object.
     * @param appendsPerSecond Maximum append rate over all streams.
     * @param callDuration Of each call, from the request to the response.
     * @param burst Appends that may be sent at once before the maximum rate applies.
     */
    virtual_log(virtual_time &time, double appendsPerSecond, duration callDuration, double burst = 10);

    /** Appends a record, or refuses it with retryAfter when the append rate is exceeded. */
    void append(int stream, const std::string &payload, const std::function<void(append_response)> &done);

    /** Reads records from an offset on. The response has the records that the stream holds at the time of this call, not at that of the callback. */
    void read(int stream, log_offset from, std::size_t maximumRecords, const std::function<void(read_response)> &done);

    /** Appends that were not refused. */
    std::uint64_t appends() const;

    /** Refused appends. */
    std::uint64_t refusals() const;

    /** Payload bytes of the appends that were not refused. */
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
