#pragma once

#include "core/time_types.h"
#include "scheduler/executor_state.h"

#include <optional>
#include <set>
#include <vector>

namespace parsleyglade {

/** Executors in the order of the time at which each is next due for a check, a poll or a change of its state. An executor has at most one time. */
class wake_queue
{
public:
    /** Sets or replaces the time of an executor. @param time nothing if the executor is not due until something about it changes */
    void set(executor_state &executor, std::optional<time_point> time);

    /** Returns the executors that are due, in the order of their times and then of their ids. They stay due until their time is set anew. */
    std::vector<executor_state *> due(time_point now) const;

private:
    struct entry
    {
        time_point time{};
        executor_state *executor = nullptr;

        friend bool operator<(const entry &left, const entry &right)
        {
            return left.time != right.time ? left.time < right.time : left.executor->description.id < right.executor->description.id;
        }
    };

    std::set<entry> m_entries;
};

} // namespace parsleyglade
