#pragma once

#include "core/outcome.h"
#include "transport/peer_session.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

struct evconnlistener;

namespace parsleyglade {

/** Accepts sessions of other entry hosts and passes their requests to a handler. Owns its sessions and socket. */
class peer_server : private peer_session::listener
{
public:
    /** Answers one request; the reply function may be called later, once, and takes a message without its id. */
    using reply_function = std::function<void(wire::peer_message)>;
    using request_handler = std::function<void(const peer_identity &, wire::peer_message &, reply_function)>;

    /** @param address IP:PORT to listen on. */
    peer_server(event_loop &loop, const peer_settings &settings, std::string address, request_handler handler);
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;
    ~peer_server() override;

    /** Listens and returns the port. Fails with invalid_value when the address can't be bound. */
    outcome<std::uint16_t> listen();

private:
    void peerMessage(const std::shared_ptr<peer_session> &session, wire::peer_message &message) override;
    void peerClosed(const std::shared_ptr<peer_session> &session, const std::string &reason) override;
    void accept(int socket);

    event_loop &m_loop;
    const peer_settings &m_settings;
    std::string m_address;
    request_handler m_handler;
    evconnlistener *m_listener = nullptr;
    std::unordered_set<std::shared_ptr<peer_session>> m_sessions;
    logger m_log{"peer"};
};

} // namespace parsleyglade
