#include "fleet_model.h"

namespace parsleyglade {

fleet_model::fleet_model(duration delay)
    : m_delay(delay)
{
}

void fleet_model::add(executor_description description)
{
    modelled_executor &added = m_executors[description.id];
    added.description = std::move(description);
}

order_response fleet_model::start(const start_order &order, duration runTime, time_point now)
{
    modelled_executor &executor = m_executors.at(order.target.executor);
    const time_point end = now + m_delay + runTime;
    executor.running.push_back({order.task, order.run});
    m_ends.push({end, order.target.executor, order.task, order.run});
    return {order_result::done, clock(now)};
}

void fleet_model::poll(const poll_order &order, time_point now)
{
    modelled_executor &executor = m_executors.at(order.target.executor);
    std::erase_if(executor.finished, [&](const finished_entry &entry) { return entry.number <= order.acknowledgedUpTo; });
    executor.pending = pending_poll{order, now, now + 2 * m_delay + order.wait};
}

std::vector<poll_delivery> fleet_model::advance(time_point now)
{
    while (!m_ends.empty() && m_ends.top().when <= now) {
        const run_end_event event = m_ends.top();
        m_ends.pop();
        modelled_executor &executor = m_executors.at(event.executor);
        const auto isEnded = [&event](const modelled_run &run) {
            return run.task == event.task && run.run == event.run;
        };
        if (std::erase_if(executor.running, isEnded) > 0) {
            executor.finished.push_back({++executor.lastNumber, event.task, event.run, run_end::done, {}});
        }
    }

    std::vector<poll_delivery> deliveries;
    for (auto &[id, executor] : m_executors) {
        if (executor.pending && isAnswerDue(executor, now)) {
            deliveries.push_back(answer(id, executor, now));
        }
    }
    return deliveries;
}

bool fleet_model::isAnswerDue(const modelled_executor &executor, time_point now) const
{
    const bool hasArrived = now >= executor.pending->sentAt + 2 * m_delay;
    return hasArrived && (!executor.finished.empty() || now >= executor.pending->waitEnd);
}

poll_delivery fleet_model::answer(const std::string &id, modelled_executor &executor, time_point now)
{
    poll_delivery delivery;
    delivery.executor = id;
    delivery.sentAt = executor.pending->sentAt;
    delivery.response.result = order_result::done;
    delivery.response.boot = executor.description.boot;
    delivery.response.clockMilliseconds = clock(now);
    for (const modelled_run &run : executor.running) {
        constexpr int startUpComplete = 100;
        delivery.response.running.push_back({run.task, run.run, {}, startUpComplete, 0});
    }
    delivery.response.finished = executor.finished;
    executor.pending.reset();
    return delivery;
}

std::int64_t fleet_model::clock(time_point now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

} // namespace parsleyglade
