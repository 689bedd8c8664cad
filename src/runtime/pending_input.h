#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Pause before a socket with pending input is looked at again; the event loop reads it meanwhile. */
constexpr duration pendingInputCheckInterval = std::chrono::milliseconds{1};

/** Whether a connection has bytes, or a listener has connections, that this process has not taken from the kernel yet.
    @param socket a connected or listening socket. False when the system can't tell. */
bool hasPendingInput(int socket);

} // namespace parsleyglade
