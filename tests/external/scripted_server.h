#pragma once

#include "runtime/event_loop.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string>
#include <vector>

namespace parsleyglade {

/** A TCP server on a loopback port that responds to every request head with the same bytes and optionally closes the connection afterwards. */
class scripted_server
{
public:
    scripted_server(event_loop &loop, std::string response, bool closesConnection)
        : m_loop(loop)
        , m_response(std::move(response))
        , m_closesConnection(closesConnection)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, 16, reinterpret_cast<sockaddr *>(&address), sizeof address);
        socklen_t size = sizeof address;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }

    ~scripted_server()
    {
        evconnlistener_free(m_listener);
        for (bufferevent *connection : m_connections) {
            bufferevent_free(connection);
        }
    }

    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;

    /** Sets the response, and whether the connection is closed after it, from the next request on. */
    void setResponse(std::string response, bool closesConnection)
    {
        m_response = std::move(response);
        m_closesConnection = closesConnection;
    }

    const std::string &address() const
    {
        return m_address;
    }

    std::size_t connectionCount() const
    {
        return m_connections.size();
    }

    int requestCount() const
    {
        return m_requests;
    }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument)
    {
        auto *self = static_cast<scripted_server *>(argument);
        bufferevent *connection = bufferevent_socket_new(self->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        self->m_connections.push_back(connection);
        bufferevent_setcb(connection, onRead, nullptr, nullptr, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *connection, void *argument)
    {
        auto *self = static_cast<scripted_server *>(argument);
        evbuffer *input = bufferevent_get_input(connection);
        if (evbuffer_search(input, "\r\n\r\n", 4, nullptr).pos < 0) {
            return;
        }
        evbuffer_drain(input, evbuffer_get_length(input));
        ++self->m_requests;
        if (self->m_response.empty() && self->m_closesConnection) {
            closeSocket(connection, nullptr);
            return;
        }
        if (self->m_closesConnection) {
            bufferevent_setcb(connection, nullptr, closeSocket, nullptr, self);
        }
        bufferevent_write(connection, self->m_response.data(), self->m_response.size());
    }

    static void closeSocket(bufferevent *connection, void *)
    {
        const evutil_socket_t socket = bufferevent_getfd(connection);
        bufferevent_disable(connection, EV_READ | EV_WRITE);
        bufferevent_setfd(connection, -1);
        evutil_closesocket(socket);
    }

    event_loop &m_loop;
    std::string m_response;
    bool m_closesConnection;
    std::string m_address;
    evconnlistener *m_listener = nullptr;
    std::vector<bufferevent *> m_connections;
    int m_requests = 0;
};

} // namespace parsleyglade
