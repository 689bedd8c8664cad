#pragma once

#include "core/time_types.h"

#include <cstddef>

namespace parsleyglade {

/** Limits of an http_requester. */
struct http_requester_settings
{
    std::size_t maximumConnections = 64; /**< A request is not sent when all of these are busy. */
    std::size_t maximumHeaderBytes = std::size_t{16} * 1024; /**< Of a response. */
    std::size_t maximumBodyBytes = std::size_t{4} * 1024 * 1024; /**< Of a response. */
    duration idleTimeout = std::chrono::seconds{10}; /**< Idle connections are closed after one to two times this duration. */
};

} // namespace parsleyglade
