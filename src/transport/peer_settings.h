#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>
#include <string>

namespace parsleyglade {

/** What an entry host tells its peers about itself, and the limits of the sessions between them. */
struct peer_settings
{
    std::string entryHost;
    incarnation_id incarnation{};
    std::string region;
    std::string dataCentre;
    std::string sharedKey; /**< Secret that every entry host of the deployment has. */
    duration handshakeTimeout = std::chrono::seconds{2};
    duration silenceTimeout = std::chrono::seconds{3}; /**< A session without any frame for longer is closed. */
    duration reconnectDelay = std::chrono::milliseconds{200};
    std::size_t maximumQueuedBytes = std::size_t{8} * 1024 * 1024; /**< Unsent output after which a session is closed. */
    std::size_t maximumSessions = 64; /**< Accepted at a time. */
};

/** The other side of a session after the handshake. */
struct peer_identity
{
    std::string entryHost;
    incarnation_id incarnation{};
    std::string region;
    std::string dataCentre;
};

} // namespace parsleyglade
