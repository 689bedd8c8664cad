#pragma once

#include "relay_session.h"

#include <memory>
#include <string>
#include <vector>

struct evconnlistener;

namespace parsleyglade {

/** Relays TCP connections to a target and injects faults. Owns its listener; the sessions keep themselves alive while open.
    Must not be destroyed while the loop runs. */
class relay
{
public:
    /** Starts to listen. Throws std::runtime_error when an address is malformed or can't be bound. @param listen, target IP:PORT */
    relay(event_loop &loop, std::string name, const std::string &listen, const std::string &target);
    relay(const relay &) = delete;
    relay &operator=(const relay &) = delete;
    ~relay();

    const std::string &name() const;

    /** Replaces the faults, also of the open sessions. */
    void setFaults(const link_faults &faults);

private:
    void accept(int socket);

    event_loop &m_loop;
    std::string m_name;
    socket_address m_target;
    link_faults m_faults;
    evconnlistener *m_listener = nullptr;
    std::vector<std::weak_ptr<relay_session>> m_sessions;
};

} // namespace parsleyglade
