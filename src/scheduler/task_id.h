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
};

} // namespace parsleyglade
