#pragma once

#include "runtime/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyglade {

/** Opens TCP connections and holds them without sending anything, to measure what an idle connection costs a server. */
class idle_connections
{
public:
    /** Starts connecting to the targets in turn. @param targets IP:PORT. */
    idle_connections(event_loop &loop, const std::vector<std::string> &targets, std::size_t count);
    ~idle_connections();
    idle_connections(const idle_connections &) = delete;
    idle_connections &operator=(const idle_connections &) = delete;

    std::size_t openCount() const;

    /** Connections that were refused or closed by the server. */
    std::size_t lostCount() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
