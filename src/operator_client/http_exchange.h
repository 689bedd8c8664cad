#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "operator_client/admin_request.h"
#include "operator_client/admin_response.h"

namespace parsleyglade {

class event_loop;

/** Largest answer that the client reads, in bytes. */
constexpr std::size_t maximumResponseBytes = std::size_t{16} * 1024 * 1024;

/**
 * Sends one request to an IPv4 address and port, and runs the loop until the answer is whole or the time limit has passed for connecting,
 * for a pause in the answer, or twice over for the whole exchange. Fails with peer_unreachable if no connection was made, so that the request
 * was certainly not taken, and with connection_lost or answer_timeout if it may have been.
 * @pre isCanonicalAddress(address); the loop is not running
 */
outcome<admin_response> sendAdminRequest(event_loop &loop, const std::string &address, const std::string &token, const admin_request &request,
                                         duration timeout);

} // namespace parsleyglade
