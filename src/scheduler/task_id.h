#pragma once

#include <compare>
#include <string>

namespace parsleyglade {

/** Identifies one task of one occurrence of a job. */
struct task_id
{
    std::string job;
    int occurrence = 0; /**< 0 for a job that does not repeat. */
    int step = 0;
    int index = 0; /**< Within the step. */

    friend auto operator<=>(const task_id &, const task_id &) = default;

    /** Compares the numbers first, since the tasks of one job have the same text. */
    friend bool operator==(const task_id &left, const task_id &right)
    {
        return left.index == right.index && left.step == right.step && left.occurrence == right.occurrence && left.job == right.job;
    }
};

} // namespace parsleyglade
