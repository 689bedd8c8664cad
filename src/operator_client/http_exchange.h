#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "operator_client/admin_request.h"
#include "operator_client/admin_response.h"

namespace parsleyglade {

class event_loop;

/** Maximum size of a response body, in bytes. */
constexpr std::size_t maximumResponseBytes = std::size_t{16} * 1024 * 1024;

/**
 * Sends one HTTP request and runs the event loop until the response is complete or the request has failed. The timeout applies to connecting
 * and to each interval between bytes of the response; the exchange as a whole is limited to twice the timeout. Fails with peer_unreachable if no connection was
 * established, so that the request certainly had no effect, and with connection_lost or answer_timeout if it may have had one.
 * @param address IPv4:port
 * @param token bearer token; empty sends no Authorization header
 * @pre isCanonicalAddress(address); the loop is not running
 */
outcome<admin_response> sendAdminRequest(event_loop &loop, const std::string &address, const std::string &token, const admin_request &request,
                                         duration timeout);

} // namespace parsleyglade
