#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace parsleyglade {

enum class event_kind : std::uint8_t {
    arrival, /**< subject: job */
    caller_retried, /**< subject: job */
    job_finished, /**< subject: job, detail: endpoint */
    job_failed, /**< subject: job, detail: endpoint; it may have started */
    job_refused, /**< subject: job, detail: endpoint; it certainly did not start */
    load_tick, /**< subject: entry host */
    load_report_received, /**< subject: message */
    probe_tick, /**< subject: entry host */
    fault_started,
    fault_ended, /**< subject: endpoint */
    move_tick,
    move_joined, /**< subject: endpoint */
};

/** Something that happens at a virtual time. */
struct model_event
{
    time_point time{};
    std::uint64_t order = 0; /**< Events at one time happen in the order of their creation. */
    event_kind kind{};
    std::uint32_t subject = 0;
    std::uint32_t detail = 0;
    std::uint32_t generation = 0; /**< Generation of the endpoint; an event of an earlier one is void. */

    friend bool operator>(const model_event &left, const model_event &right)
    {
        return left.time != right.time ? left.time > right.time : left.order > right.order;
    }
};

/** Events in order of virtual time. */
class event_queue
{
public:
    void add(time_point time, event_kind kind, std::uint32_t subject = 0, std::uint32_t detail = 0, std::uint32_t generation = 0)
    {
        m_events.push({time, m_nextOrder++, kind, subject, detail, generation});
    }

    bool isEmpty() const
    {
        return m_events.empty();
    }

    model_event pop()
    {
        const model_event event = m_events.top();
        m_events.pop();
        return event;
    }

private:
    std::priority_queue<model_event, std::vector<model_event>, std::greater<>> m_events;
    std::uint64_t m_nextOrder = 0;
};

} // namespace parsleyglade
