#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Splits the slots strictly into long and short ones and takes the fewest jobs in flight. A job that waited past the limit may use any slot. */
struct two_queue_ageing
{
    duration ageLimit = std::chrono::seconds{5}; /**< Wait after which a job may use the slots of the other class. */
};

} // namespace parsleyglade
