#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Interval after which a socket with pending input is checked again; the event loop reads the input in the meantime. */
constexpr duration pendingInputCheckInterval = std::chrono::milliseconds{1};

/**
 * Returns whether a connection has bytes, or a listener has connections, that this process has not yet read or accepted. Never blocks.
 * Returns false if the system call fails.
 * @param socket A connected or listening socket.
 */
bool hasPendingInput(int socket);

} // namespace parsleyglade
