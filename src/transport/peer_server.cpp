#include "transport/peer_server.h"

#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <unistd.h>

namespace parsleyglade {

peer_server::peer_server(event_loop &loop, const peer_settings &settings, std::string address, request_handler handler)
    : m_loop(loop)
    , m_settings(settings)
    , m_address(std::move(address))
    , m_handler(std::move(handler))
{
}

peer_server::~peer_server()
{
    if (m_listener != nullptr) {
        evconnlistener_free(m_listener);
    }
    for (const auto &session : m_sessions) {
        session->close("the entry host is stopping", true);
    }
}

outcome<std::uint16_t> peer_server::listen()
{
    const std::string suffix = ":0";
    const bool anyPort = m_address.size() > suffix.size() && m_address.ends_with(suffix);
    const auto target = parseSocketAddress(anyPort ? m_address.substr(0, m_address.size() - 1) + "1" : m_address);
    const failure bindFailure{result_code::invalid_value, "cannot listen on " + m_address, {}};
    if (!target) {
        return bindFailure;
    }

    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(anyPort ? 0 : target->port);
    ::inet_pton(AF_INET, target->address.c_str(), &socketAddress.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
        static_cast<peer_server *>(argument)->accept(socket);
    };
    m_listener = evconnlistener_new_bind(m_loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                         reinterpret_cast<sockaddr *>(&socketAddress), sizeof(socketAddress));
    if (m_listener == nullptr) {
        return bindFailure;
    }

    socklen_t size = sizeof(socketAddress);
    ::getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&socketAddress), &size);
    return ntohs(socketAddress.sin_port);
}

void peer_server::accept(int socket)
{
    if (m_sessions.size() >= m_settings.maximumSessions) {
        m_log.warning("refused a peer connection: too many sessions", {{"sessions", m_sessions.size()}});
        ::close(socket);
        return;
    }

    const auto session = std::make_shared<peer_session>(m_loop, m_settings, static_cast<peer_session::listener &>(*this), peer_session::side::accepting);
    m_sessions.insert(session);
    session->accept(socket);
}

void peer_server::peerMessage(const std::shared_ptr<peer_session> &session, wire::peer_message &message)
{
    const std::int64_t id = message.id;
    m_handler(session->identity(), message, [weak = std::weak_ptr<peer_session>(session), id](wire::peer_message &reply) {
        if (const auto open = weak.lock()) {
            reply.id = id;
            reply.isReply = true;
            open->send(reply);
        }
    });
}

void peer_server::peerClosed(const std::shared_ptr<peer_session> &session, const std::string &reason)
{
    m_log.debug("peer session closed", {{"reason", reason}});
    m_sessions.erase(session);
}

} // namespace parsleyglade
