#pragma once

#include "transport/http_message.h"

#include <functional>
#include <memory>

namespace parsleyglade {

class http_connection;

/** One received request and its answer. Shared by whoever will answer; the answer may come at any later time. */
class http_exchange
{
public:
    http_exchange(std::weak_ptr<http_connection> connection, http_request request);
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;
    ~http_exchange();

    const http_request &request() const;

    /** Sends the answer. Only the first call counts; it does nothing when the caller has gone. */
    void respond(const http_response &response);

    /** Whether an answer has been given. */
    bool hasResponded() const;

private:
    std::weak_ptr<http_connection> m_connection;
    http_request m_request;
    bool m_hasResponded = false;
};

} // namespace parsleyglade
