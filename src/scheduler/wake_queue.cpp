#include "scheduler/wake_queue.h"

namespace parsleyglade {

void wake_queue::set(executor_state &executor, std::optional<time_point> time)
{
    if (executor.wakeAt == time) {
        return;
    }
    if (!executor.wakeAt) {
        m_entries.insert({*time, &executor});
    } else if (!time) {
        m_entries.erase({*executor.wakeAt, &executor});
    } else {
        auto node = m_entries.extract({*executor.wakeAt, &executor});
        node.value() = {*time, &executor};
        m_entries.insert(std::move(node));
    }
    executor.wakeAt = time;
}

std::vector<executor_state *> wake_queue::due(time_point now) const
{
    std::vector<executor_state *> executors;
    for (auto next = m_entries.begin(); next != m_entries.end() && next->time <= now; ++next) {
        executors.push_back(next->executor);
    }
    return executors;
}

} // namespace parsleyglade
