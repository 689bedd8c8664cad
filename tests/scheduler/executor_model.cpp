#include "executor_model.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration stopTime = std::chrono::milliseconds{150};
constexpr duration longRunTime = std::chrono::minutes{10}; // a longer run is that of a long-running task, whose start-up is complete at once

int progressOf(const model_run &run, time_point now)
{
    const duration work = run.endsAt - run.startedAt;
    return work > longRunTime ? 100 : static_cast<int>(100 * (now - run.startedAt) / std::max(work, duration{1}));
}

} // namespace

executor_model::executor_model(executor_description description, double clockRate, demand_function demand, behaviour_function behaviour)
    : m_description(std::move(description))
    , m_clockRate(clockRate)
    , m_demand(std::move(demand))
    , m_behaviour(std::move(behaviour))
{
}

std::int64_t executor_model::clock(time_point now) const
{
    return 1'000 + static_cast<std::int64_t>(toSeconds(now - m_bootedAt) * 1000.0 * m_clockRate);
}

void executor_model::advance(time_point now)
{
    if (!m_isUp) {
        return;
    }
    for (std::size_t index = m_running.size(); index > 0; --index) {
        if (m_running[index - 1].endsAt <= now) {
            finish(index - 1, m_running[index - 1].isStopping ? run_end::stopped : m_running[index - 1].end);
        }
    }
    if (clock(now) > m_leaseEnd) {
        while (!m_running.empty()) {
            finish(m_running.size() - 1, run_end::lapsed);
        }
        m_lapsedUpTo = m_nextNumber - 1;
    }
}

void executor_model::extendLease(std::int64_t leaseEnd, time_point now)
{
    const std::int64_t longest = clock(now) + std::chrono::duration_cast<std::chrono::milliseconds>(maximumLease).count();
    m_leaseEnd = std::max(m_leaseEnd, std::min(leaseEnd, longest));
}

void executor_model::finish(std::size_t index, run_end end)
{
    const model_run ended = m_running[index];
    m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
    m_finished.push_back({m_nextNumber++, ended.task, ended.run, end, {}});
    m_blocked[ended.task] = std::max(m_blocked[ended.task], ended.run);
}

void executor_model::restart(time_point now)
{
    m_running.clear();
    m_finished.clear();
    m_blocked.clear();
    m_fence = -1;
    m_leaseEnd = 0;
    m_nextNumber = 1;
    m_lapsedUpTo = 0;
    m_bootedAt = now;
    m_isUp = true;
    ++m_description.boot;
}

void executor_model::setUp(bool isUp, time_point now)
{
    if (isUp && !m_isUp) {
        restart(now);
    } else if (!isUp) {
        m_isUp = false;
        m_running.clear();
    }
}

bool executor_model::acceptsFence(const order_target &target)
{
    if (target.fence < m_fence) {
        return false;
    }
    m_fence = target.fence;
    return true;
}

order_response executor_model::start(const start_order &order, time_point now)
{
    advance(now);
    if (!acceptsFence(order.target)) {
        return {order_result::fenced, clock(now)};
    }
    const bool isRunning
        = std::any_of(m_running.begin(), m_running.end(), [&](const model_run &run) { return run.task == order.task && run.run == order.run; });
    if (order.leaseEnd < clock(now)) {
        return {order_result::late, clock(now)};
    }
    extendLease(order.leaseEnd, now);
    if (isRunning) {
        return {order_result::done, clock(now)};
    }
    const auto blocked = m_blocked.find(order.task);
    if (blocked != m_blocked.end() && order.run <= blocked->second) {
        return {order_result::superseded, clock(now)};
    }
    const task_behaviour behaviour = m_behaviour(order.task, order.run, m_description.id);
    m_running.push_back({order.task, order.run, m_demand(order.task), now, now + behaviour.work, behaviour.fails ? run_end::failed : run_end::done, false});
    return {order_result::done, clock(now)};
}

order_response executor_model::stop(const stop_order &order, time_point now)
{
    advance(now);
    if (!acceptsFence(order.target)) {
        return {order_result::fenced, clock(now)};
    }
    m_blocked[order.task] = std::max(m_blocked[order.task], order.run);
    for (model_run &run : m_running) {
        if (run.task == order.task && run.run <= order.run && !run.isStopping) {
            run.isStopping = true;
            run.endsAt = std::min(run.endsAt, now + stopTime);
        }
    }
    return {order_result::done, clock(now)};
}

poll_response executor_model::poll(const poll_order &order, time_point now)
{
    advance(now);
    poll_response response;
    response.clockMilliseconds = clock(now);
    response.boot = m_description.boot;
    if (!acceptsFence(order.target)) {
        response.result = order_result::fenced;
        return response;
    }
    response.result = order_result::done;
    if (order.leaseEnd) {
        extendLease(*order.leaseEnd, now);
    }
    std::erase_if(m_finished, [&](const finished_entry &entry) {
        if (entry.number <= order.acknowledgedUpTo) {
            if (entry.number > m_lapsedUpTo) {
                m_acknowledged.push_back(entry);
            }
            return true;
        }
        return false;
    });
    response.finished = m_finished;
    for (const model_run &run : m_running) {
        response.running.push_back({run.task, run.run, {}, progressOf(run, now), 0});
    }
    return response;
}

const executor_description &executor_model::description() const
{
    return m_description;
}

executor_description executor_model::registryEntry(time_point now) const
{
    executor_description entry = m_description;
    entry.clockMilliseconds = clock(now);
    return entry;
}

const std::vector<model_run> &executor_model::running() const
{
    return m_running;
}

bool executor_model::isUp() const
{
    return m_isUp;
}

const std::vector<finished_entry> &executor_model::finished() const
{
    return m_finished;
}

const std::vector<finished_entry> &executor_model::acknowledged() const
{
    return m_acknowledged;
}

} // namespace parsleyglade
