#include "relay.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <stdexcept>

namespace parsleyglade {

relay::relay(event_loop &loop, std::string name, const std::string &listen, const std::string &target)
    : m_loop(loop)
    , m_name(std::move(name))
{
    const auto listenAddress = parseSocketAddress(listen);
    const auto targetAddress = parseSocketAddress(target);
    if (!listenAddress || !targetAddress) {
        throw std::runtime_error("malformed address of link " + m_name);
    }

    m_target = *targetAddress;
    sockaddr_in socketAddress{};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(listenAddress->port);
    ::inet_pton(AF_INET, listenAddress->address.c_str(), &socketAddress.sin_addr);
    const auto onAccept = [](evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument) {
        static_cast<relay *>(argument)->accept(socket);
    };
    m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                         reinterpret_cast<sockaddr *>(&socketAddress), sizeof(socketAddress));
    if (m_listener == nullptr) {
        throw std::runtime_error("cannot listen on " + listen);
    }
}

relay::~relay()
{
    evconnlistener_free(m_listener);
}

const std::string &relay::name() const
{
    return m_name;
}

void relay::setFaults(const link_faults &faults)
{
    m_faults = faults;
    for (const auto &weak : m_sessions) {
        const auto session = weak.lock();
        if (session && !session->isClosed()) {
            session->applyFaults();
        }
    }
}

void relay::accept(int socket)
{
    std::erase_if(m_sessions, [](const auto &weak) { return weak.expired(); });
    const auto session = std::make_shared<relay_session>(m_loop, m_faults);
    m_sessions.push_back(session);
    session->start(socket, m_target);
}

} // namespace parsleyglade
