#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "operator_client/admin_request.h"
#include "operator_client/admin_response.h"

#include <vector>

namespace parsleyglade {

class event_loop;

/**
 * Client of the admin interface that fails over between entry hosts. Requests carry an identifier, so the same request may be sent again to the
 * next address.
 */
class admin_client
{
public:
    /**
     * The loop must outlive the client and must not be running during a call of the client.
     * @param token bearer token of the operator; empty sends no Authorization header
     * @param timeout of each request, see sendAdminRequest()
     * @pre addresses is not empty, and each has the form IPv4:port
     */
    admin_client(event_loop &loop, std::vector<std::string> addresses, std::string token, duration timeout);
    admin_client(const admin_client &) = delete;
    admin_client &operator=(const admin_client &) = delete;

    /**
     * Sends the request to one address after another until one responds with a status other than 502, 503 or 504, and returns that response.
     * The next call starts with the address that responded. If every address is unavailable, returns the last response with one of these
     * statuses. Fails with connection_lost if the request may have taken effect, and with peer_unreachable if no address responded and the
     * request certainly had no effect.
     */
    outcome<admin_response> send(const admin_request &request);

    /** Runs the event loop for the given time, then returns. */
    void waitFor(duration time);

    /** Returns the monotonic time of the event loop. */
    time_point now() const;

private:
    event_loop &m_loop;
    std::vector<std::string> m_addresses;
    std::string m_token;
    duration m_timeout;
    std::size_t m_preferredIndex = 0;
};

} // namespace parsleyglade
