#pragma once

#include "runtime/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyglade {

/** Opens TCP connections and keeps them open without sending anything, to measure the cost of an idle connection to a server. */
class idle_connections
{
public:
    /**
     * Starts to open the connections, distributed evenly over the targets. The destructor closes them.
     *
     * @param loop Must outlive this object.
     * @param targets IP:PORT of each target; at least one. A malformed one counts as a lost connection each time.
     * @param count Number of connections.
     */
    idle_connections(event_loop &loop, const std::vector<std::string> &targets, std::size_t count);
    ~idle_connections();
    idle_connections(const idle_connections &) = delete;
    idle_connections &operator=(const idle_connections &) = delete;

    /** Connections that are open now. */
    std::size_t openCount() const;

    /** Connections that could not be opened or were closed by the server. They are not opened again. */
    std::size_t lostCount() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
