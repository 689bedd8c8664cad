#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/**
 * Placement policy with separate slots for short and long jobs; selects the endpoint with the fewest jobs in flight. A job that has waited
 * for longer than ageLimit may use any slot.
 */
struct two_queue_ageing
{
    duration ageLimit = std::chrono::seconds{5}; /**< Wait after which a job may use the slots of the other class. */
};

} // namespace parsleyglade
