#pragma once

#include "runtime/event_loop.h"

#include <memory>
#include <string>
#include <vector>

namespace parsleyglade {

/** Opens TCP connections and holds them without sending anything, to measure what an idle connection costs a server. */
class connection_holder
{
public:
    /** Starts connecting to the targets in turn. @param targets IP:PORT. */
    connection_holder(event_loop &loop, const std::vector<std::string> &targets, std::size_t count);
    ~connection_holder();
    connection_holder(const connection_holder &) = delete;
    connection_holder &operator=(const connection_holder &) = delete;

    std::size_t openCount() const;

    /** Connections that were refused or closed by the server. */
    std::size_t lostCount() const;

private:
    struct state;

    std::unique_ptr<state> m_state;
};

} // namespace parsleyglade
