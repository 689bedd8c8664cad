#pragma once

#include "core/outcome.h"
#include "transport/peer_session.h"

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_set>

struct evconnlistener;

namespace parsleyglade {

/** Accepts sessions of other entry hosts and passes their requests to a handler. Owns its sessions and listener. The loop and
    the settings must outlive the server. */
class peer_server : private peer_session::listener
{
public:
    /** Sends the reply to one request, and sets the id of the message for that. Called at any later time; does nothing when the session has been closed. Called
       at most once, except for messages of a subscription of the peer's link, which may get any number of replies. */
    using reply_function = std::function<void(wire::peer_message &)>;
    /** Called with each message of an authenticated peer, on the loop's thread. */
    using request_handler = std::function<void(const peer_identity &, wire::peer_message &, reply_function)>;

    /** @param address IP:PORT to listen on; port 0 for any free port. */
    peer_server(event_loop &loop, const peer_settings &settings, std::string address, request_handler handler);
    peer_server(const peer_server &) = delete;
    peer_server &operator=(const peer_server &) = delete;
    ~peer_server() override;

    /** Starts to listen and returns the port. Fails with invalid_value when the address can't be bound. */
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
