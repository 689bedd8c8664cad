#include "transport/http_exchange.h"

#include "transport/http_connection.h"

namespace parsleyglade {

http_exchange::http_exchange(std::weak_ptr<http_connection> connection, http_request request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
{
}

http_exchange::~http_exchange()
{
    // A handler that releases its exchange without a response must not leave the caller waiting indefinitely.
    if (!m_hasResponded) {
        respond({500, {}, {}});
    }
}

const http_request &http_exchange::request() const
{
    return m_request;
}

void http_exchange::respond(const http_response &response)
{
    if (m_hasResponded) {
        return;
    }

    m_hasResponded = true;
    if (const auto connection = m_connection.lock()) {
        connection->send(response);
    }
}

bool http_exchange::hasResponded() const
{
    return m_hasResponded;
}

} // namespace parsleyglade
