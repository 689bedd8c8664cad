#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <queue>
#include <vector>

namespace parsleyglade {

/** Kind of a model_event, with the meaning of its subject and detail. */
enum class event_kind : std::uint8_t {
    arrival, /**< A job arrives at its first entry host or at the one it is forwarded to. subject: job */
    caller_retried, /**< A caller sends a refused job again. subject: job */
    job_finished, /**< An endpoint has completed a job. subject: job, detail: endpoint */
    job_failed, /**< A job failed and may have started. subject: job, detail: endpoint */
    job_refused, /**< An endpoint refused a job, which certainly did not start. subject: job, detail: endpoint */
    load_tick, /**< An entry host sends its load reports. subject: entry host */
    load_report_received, /**< A peer receives load reports. subject: message */
    probe_tick, /**< An entry host probes its endpoints. subject: entry host */
    fault_started, /**< A random endpoint becomes faulty. */
    fault_ended, /**< An endpoint recovers. subject: endpoint */
    move_tick, /**< The planner decides on host moves. */
    move_joined, /**< A drained endpoint joins its target pool. subject: endpoint */
};

/** Event of the simulation at a point in virtual time. */
struct model_event
{
    time_point time{};
    std::uint64_t order = 0; /**< Sequence number: events at the same time are handled in the order in which they were added. */
    event_kind kind{};
    std::uint32_t subject = 0;
    std::uint32_t detail = 0;
    std::uint32_t generation = 0; /**< Generation of the endpoint; events of an earlier generation are ignored. */

    friend bool operator>(const model_event &left, const model_event &right)
    {
        return left.time != right.time ? left.time > right.time : left.order > right.order;
    }
};

/** Pending events in order of virtual time. */
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

    /** Removes and returns the earliest event. @pre !isEmpty() */
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
