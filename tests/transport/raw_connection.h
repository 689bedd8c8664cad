#pragma once

#include "runtime/runtime.h"

#include <arpa/inet.h>
#include <cstdint>
#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

namespace parsleyglade::test {

/** TCP client that sends arbitrary bytes and runs the loop under test while it sends and receives. */
class raw_connection
{
public:
    raw_connection(event_loop &loop, std::uint16_t port)
        : m_loop(loop)
        , m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::connect(m_socket, reinterpret_cast<sockaddr *>(&address), sizeof(address));
        ::fcntl(m_socket, F_SETFL, O_NONBLOCK);
    }

    raw_connection(const raw_connection &) = delete;
    raw_connection &operator=(const raw_connection &) = delete;

    ~raw_connection()
    {
        ::close(m_socket);
    }

    void send(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count > 0) {
                sent += static_cast<std::size_t>(count);
            } else if (errno != EAGAIN) {
                return;
            }
            run(std::chrono::milliseconds{1});
        }
    }

    /** Passes bytes to the kernel without running the loop, so that the server has not read them yet. */
    void sendWithoutRunning(const std::string &bytes)
    {
        ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /** Closes the sending direction only. */
    void endWriting()
    {
        ::shutdown(m_socket, SHUT_WR);
    }

    /** Runs the loop until the other side closes, the expected text has been received or the timeout ends. Returns all bytes received so far. */
    std::string receive(const std::string &expectedText = {}, std::chrono::milliseconds timeout = std::chrono::milliseconds{2000})
    {
        const time_point end = m_loop.now() + timeout;
        while (!m_closed && m_loop.now() < end && (expectedText.empty() || m_received.find(expectedText) == std::string::npos)) {
            run(std::chrono::milliseconds{2});
            char buffer[4096];
            const ssize_t count = ::recv(m_socket, buffer, sizeof(buffer), 0);
            if (count > 0) {
                m_received.append(buffer, static_cast<std::size_t>(count));
            } else if (count == 0 || errno != EAGAIN) {
                m_closed = true;
            }
        }
        return m_received;
    }

    bool isClosed() const
    {
        return m_closed;
    }

    /** Runs the loop for this time. */
    void run(duration time)
    {
        const auto end = m_loop.after(time, [this] { m_loop.stop(); });
        m_loop.run();
    }

private:
    event_loop &m_loop;
    int m_socket;
    bool m_closed = false;
    std::string m_received;
};

} // namespace parsleyglade::test
