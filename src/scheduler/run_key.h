#pragma once

#include "scheduler/task_id.h"

namespace parsleyglade {

/** Identifies one run of one task. */
struct run_key
{
    task_id task;
    int run = 0;

    friend auto operator<=>(const run_key &, const run_key &) = default;
};

} // namespace parsleyglade
