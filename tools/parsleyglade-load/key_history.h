#pragma once

#include "attempt_state.h"

#include <cstdint>

namespace parsleyglade {

/** Summary of all attempts with one Idempotency-Key. */
struct key_history
{
    attempt_state lastState = attempt_state::not_sent; /**< State of the sent attempt that ended last; with no_response the job may have run. */
    std::uint32_t completed = 0; /**< Attempts that ended as completed. */
    std::uint32_t attempts = 0; /**< All attempts, also those not sent. */
};

} // namespace parsleyglade
