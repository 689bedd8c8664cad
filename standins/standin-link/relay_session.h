#pragma once

#include "link_faults.h"
#include "runtime/runtime.h"
#include "transport/socket_address.h"

#include <array>
#include <memory>

struct bufferevent;
struct evbuffer;

namespace parsleyglade {

/** One relayed TCP connection. The faults may change, and must stay valid while the loop runs. Keeps itself alive while open; owns both sockets. */
class relay_session : public std::enable_shared_from_this<relay_session>
{
public:
    relay_session(event_loop &loop, const link_faults &faults);
    relay_session(const relay_session &) = delete;
    relay_session &operator=(const relay_session &) = delete;
    ~relay_session();

    /** Takes ownership of the accepted socket and connects to the target. */
    void start(int accepted, const socket_address &target);

    /** Forwards the buffered bytes that the changed faults allow. */
    void applyFaults();

    bool isClosed() const;

private:
    enum side : std::size_t {
        caller_side,
        target_side,
    };

    struct direction
    {
        relay_session *owner = nullptr;
        side from = caller_side;
    };

    void scheduleForward(side from);
    void forward(side from);
    void close();
    bool isPartitioned(side from) const;

    event_loop &m_loop;
    const link_faults &m_faults;
    std::array<bufferevent *, 2> m_buffers{};
    std::array<direction, 2> m_directions{};
    bool m_isClosed = false;
};

} // namespace parsleyglade
