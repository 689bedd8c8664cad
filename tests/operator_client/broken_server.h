#pragma once

#include "runtime/event_loop.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <string>
#include <vector>

/** Faulty server on loopback: after a request it sends raw bytes, closes the connection, or does nothing. */
class broken_server
{
public:
    enum class behaviour {
        close_after_bytes,
        keep_open,
        send_slowly, /**< Sends one byte every 20 ms, endlessly. */
    };

    broken_server(parsleyglade::event_loop &loop, behaviour mode, std::string bytes)
        : m_loop(loop)
        , m_mode(mode)
        , m_bytes(std::move(bytes))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        m_listener = evconnlistener_new_bind(loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE, -1, reinterpret_cast<sockaddr *>(&address), sizeof address);
    }

    broken_server(const broken_server &) = delete;
    broken_server &operator=(const broken_server &) = delete;

    ~broken_server()
    {
        m_timer.cancel();
        for (bufferevent *each : m_connections) {
            bufferevent_free(each);
        }
        evconnlistener_free(m_listener);
    }

    std::string address() const
    {
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(evconnlistener_get_fd(m_listener), reinterpret_cast<sockaddr *>(&bound), &size);
        return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

private:
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *, int, void *argument)
    {
        auto *self = static_cast<broken_server *>(argument);
        bufferevent *connection = bufferevent_socket_new(self->m_loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
        self->m_connections.push_back(connection);
        bufferevent_setcb(connection, onRead, onWritten, nullptr, self);
        bufferevent_enable(connection, EV_READ | EV_WRITE);
    }

    static void onRead(bufferevent *connection, void *argument)
    {
        auto *self = static_cast<broken_server *>(argument);
        if (self->m_mode == behaviour::send_slowly) {
            self->m_timer = self->m_loop.every(std::chrono::milliseconds{20}, [connection, self] {
                bufferevent_write(connection, &self->m_bytes[self->m_sent % self->m_bytes.size()], 1);
                ++self->m_sent;
            });
        } else if (self->m_mode == behaviour::close_after_bytes) {
            bufferevent_disable(connection, EV_READ);
            bufferevent_write(connection, self->m_bytes.data(), self->m_bytes.size());
            if (self->m_bytes.empty()) {
                self->close(connection);
            }
        }
    }

    static void onWritten(bufferevent *connection, void *argument)
    {
        auto *self = static_cast<broken_server *>(argument);
        if (self->m_mode == behaviour::close_after_bytes) {
            self->close(connection);
        }
    }

    void close(bufferevent *connection)
    {
        std::erase(m_connections, connection);
        bufferevent_free(connection);
    }

    parsleyglade::event_loop &m_loop;
    behaviour m_mode;
    std::string m_bytes;
    std::size_t m_sent = 0;
    evconnlistener *m_listener;
    std::vector<bufferevent *> m_connections;
    parsleyglade::timer_subscription m_timer;
};
