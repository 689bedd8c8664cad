#pragma once

#include "attempt_state.h"

#include <cstdint>

namespace parsleyglade {

/** What was answered to all requests with one key. */
struct key_history
{
    attempt_state lastState = attempt_state::not_sent; /**< Of the latest attempt to end among those sent; no_response leaves open what happened. */
    std::uint32_t completed = 0; /**< Answers completed. */
    std::uint32_t attempts = 0;
};

} // namespace parsleyglade
