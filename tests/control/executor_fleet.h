#pragma once

#include "control/control.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** A fleet of executors whose runs end at once. Each entry host has a client of its own, which counts the requests that it sends. */
class executor_fleet
{
public:
    explicit executor_fleet(timer_service &timers)
        : m_timers(timers)
        , m_timer(timers.every(std::chrono::milliseconds{2}, [this] { respond(); }))
    {
    }

    std::size_t starts = 0; /**< Runs that were started, by any entry host. */

private:
    friend class fleet_client;

    struct executor
    {
        std::int64_t fence = 0;
        std::int64_t lastEnd = 0;
        std::deque<finished_entry> finished;
    };

    struct waiting_response
    {
        time_point due{};
        std::function<void()> send;
    };

    bool accepts(const order_target &target)
    {
        executor &addressed = m_executors[target.executor];
        addressed.fence = std::max(addressed.fence, target.fence);
        return addressed.fence == target.fence;
    }

    std::int64_t clock() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now().time_since_epoch()).count();
    }

    void respondAfter(duration delay, std::function<void()> send)
    {
        m_waiting.push_back({m_timers.now() + delay, std::move(send)});
    }

    void respond()
    {
        const time_point now = m_timers.now();
        const auto firstDue = std::stable_partition(m_waiting.begin(), m_waiting.end(), [now](const auto &response) { return response.due > now; });
        const std::vector<waiting_response> due(std::make_move_iterator(firstDue), std::make_move_iterator(m_waiting.end()));
        m_waiting.erase(firstDue, m_waiting.end());
        for (const waiting_response &response : due) {
            response.send();
        }
    }

    timer_service &m_timers;
    std::map<std::string, executor> m_executors;
    std::vector<waiting_response> m_waiting;
    timer_subscription m_timer;
};

/** The client of one entry host. */
class fleet_client final : public executor_client
{
public:
    explicit fleet_client(executor_fleet &fleet)
        : m_fleet(fleet)
    {
    }

    void start(const start_order &order, std::function<void(order_response)> done) override
    {
        ++starts;
        const bool isAccepted = m_fleet.accepts(order.target);
        if (isAccepted) {
            ++m_fleet.starts;
            executor_fleet::executor &addressed = m_fleet.m_executors[order.target.executor];
            addressed.finished.push_back({++addressed.lastEnd, order.task, order.run, run_end::done, {}});
        }
        respond(isAccepted, std::move(done));
    }

    void stop(const stop_order &order, std::function<void(order_response)> done) override
    {
        respond(m_fleet.accepts(order.target), std::move(done));
    }

    void pace(const pace_order &order, std::function<void(order_response)> done) override
    {
        respond(m_fleet.accepts(order.target), std::move(done));
    }

    void poll(const poll_order &order, std::function<void(poll_response)> done) override
    {
        constexpr duration longestWait = std::chrono::milliseconds{20};
        ++polls;
        const bool isAccepted = m_fleet.accepts(order.target);
        std::deque<finished_entry> &finished = m_fleet.m_executors[order.target.executor].finished;
        while (isAccepted && !finished.empty() && finished.front().number <= order.acknowledgedUpTo) {
            finished.pop_front();
        }
        m_fleet.respondAfter(std::min(order.wait, longestWait), [this, isAccepted, id = order.target.executor, done = std::move(done)] {
            const std::deque<finished_entry> &ends = m_fleet.m_executors[id].finished;
            poll_response response;
            response.result = isAccepted ? order_result::done : order_result::fenced;
            response.clockMilliseconds = m_fleet.clock();
            response.boot = 1;
            response.finished.assign(ends.begin(), ends.end());
            done(response);
        });
    }

    std::size_t starts = 0;
    std::size_t polls = 0;

private:
    void respond(bool isAccepted, std::function<void(order_response)> done)
    {
        m_fleet.respondAfter(duration::zero(), [this, isAccepted, done = std::move(done)] {
            done({isAccepted ? order_result::done : order_result::fenced, m_fleet.clock(), {}});
        });
    }

    executor_fleet &m_fleet;
};

} // namespace parsleyglade
