#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** How many tasks of a step are unavailable, and how old the information is that shows the others at work. */
struct step_availability
{
    int unavailable = 0;
    duration oldestList{}; /**< Age of the oldest list of runs that shows a task at work, counted from when the poll was sent. */
};

} // namespace parsleyglade
