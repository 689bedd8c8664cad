#pragma once

#include "external/standin/standin_exchange.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/** Small HTTP server on evhttp for the stand-ins. A handler may respond later; it is never called from inside a callback of evhttp. */
class standin_server
{
public:
    using handler = std::function<void(std::shared_ptr<standin_exchange>)>;

    /**
     * Listens at IP:PORT; port 0 selects a free port. Throws std::runtime_error when the address is malformed or in use.
     * @param loop Must outlive this object.
     */
    standin_server(event_loop &loop, const std::string &address, handler handle);
    ~standin_server();
    standin_server(const standin_server &) = delete;
    standin_server &operator=(const standin_server &) = delete;

    /** IP:PORT that the server listens at. */
    const std::string &address() const;

    /** Number of open connections that have carried at least one request. */
    std::size_t connectionCount() const;

    /** Whether the connection of the exchange is one of the oldest open ones, up to the given count. Counts the same connections as connectionCount(). */
    bool isAmongFirst(const standin_exchange &exchange, std::size_t count) const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
