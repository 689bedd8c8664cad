#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <cstddef>
#include <string>

namespace parsleyglade {

/** Identity that an entry host sends to its peers in the handshake, and the timeouts and limits of the sessions. */
struct peer_settings
{
    std::string entryHost;
    incarnation_id incarnation{};
    std::string region;
    std::string dataCentre;
    std::string sharedKey; /**< Secret shared by all entry hosts of the deployment. */
    duration handshakeTimeout = std::chrono::seconds{2}; /**< Includes the time to connect. */
    duration silenceTimeout = std::chrono::seconds{3}; /**< A session that receives nothing for longer is closed. */
    duration reconnectDelay = std::chrono::milliseconds{200}; /**< From a lost or failed connection to the next attempt. */
    std::size_t maximumQueuedBytes = std::size_t{8} * 1024 * 1024; /**< A session with more unsent output is closed. */
    std::size_t maximumSessions = 64; /**< Of one peer_server; further connections are closed. */
};

/** Identity of the peer of a session, as received in the handshake. */
struct peer_identity
{
    std::string entryHost;
    incarnation_id incarnation{};
    std::string region;
    std::string dataCentre;
};

} // namespace parsleyglade
