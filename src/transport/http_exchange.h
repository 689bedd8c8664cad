#pragma once

#include "transport/http_message.h"

#include <functional>
#include <memory>

namespace parsleyglade {

class http_connection;

/** One received request and its response. Shared by the handlers that may respond, at any later time on the loop's thread.
    A handler must call respond(); when the last owner releases the exchange without a response, status 500 is sent. */
class http_exchange
{
public:
    http_exchange(std::weak_ptr<http_connection> connection, http_request request);
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    ~http_exchange();

    const http_request &request() const;

    /** Sends the response. Later calls are ignored. Does nothing when the connection has been closed. */
    void respond(const http_response &response);

    /** Whether respond() has been called. */
    bool hasResponded() const;

private:
    std::weak_ptr<http_connection> m_connection;
    http_request m_request;
    bool m_hasResponded = false;
};

} // namespace parsleyglade
