#pragma once

#include "core/outcome.h"
#include "core/time_types.h"
#include "operator_client/admin_request.h"
#include "operator_client/admin_response.h"

#include <vector>

namespace parsleyglade {

class event_loop;

/** Asks the admin interface of one of several entry hosts. Requests carry an identifier, so the next host may be asked the same again. */
class admin_client
{
public:
    /** @pre addresses is not empty, and each has the form IPv4:port. The loop must outlive the client and must not be running. */
    admin_client(event_loop &loop, std::vector<std::string> addresses, std::string token, duration timeout);
    admin_client(const admin_client &) = delete;
    admin_client &operator=(const admin_client &) = delete;

    /**
     * The answer of the first address that gives one other than 502, 503 or 504; the last of those if none does. The address that answered
     * is asked first the next time. Fails with peer_unreachable if no address answered and the request certainly had no effect, and with
     * connection_lost if it may have had one.
     */
    outcome<admin_response> send(const admin_request &request);

    /** Runs the loop for a time. */
    void pause(duration time);

    /** Monotonic time of the loop. */
    time_point now() const;

private:
    event_loop &m_loop;
    std::vector<std::string> m_addresses;
    std::string m_token;
    duration m_timeout;
    std::size_t m_preferredIndex = 0;
};

} // namespace parsleyglade
