#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::size_t readBytes = 65'536;
constexpr int backlog = 512;

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int portOf(int socket)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

std::string toLower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

std::string percentDecode(const std::string &text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

std::map<std::string, std::string> parseQuery(const std::string &text)
{
    std::map<std::string, std::string> query;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('&', begin), text.size());
        const std::string item = text.substr(begin, end - begin);
        const std::size_t equals = std::min(item.find('='), item.size());
        query[item.substr(0, equals)] = equals < item.size() ? percentDecode(item.substr(equals + 1)) : std::string();
        begin = end + 1;
    }
    return query;
}

std::map<std::string, std::string> parseHeaders(const std::string &head)
{
    std::map<std::string, std::string> headers;
    for (std::size_t line = head.find("\r\n"); line != std::string::npos && line + 2 < head.size();) {
        const std::size_t begin = line + 2;
        line = head.find("\r\n", begin);
        const std::string text = head.substr(begin, line - begin);
        const std::size_t colon = text.find(':');
        if (colon != std::string::npos) {
            const std::size_t value = text.find_first_not_of(' ', colon + 1);
            headers[toLower(text.substr(0, colon))] = value == std::string::npos ? std::string() : text.substr(value);
        }
    }
    return headers;
}

/** Reads one message: the head up to the empty line, and a body of Content-Length bytes. The buffer keeps what follows. */
std::optional<std::pair<std::string, std::string>> readMessage(int socket, std::string &buffer)
{
    std::string chunk(readBytes, '\0');
    std::size_t headEnd = std::string::npos;
    std::size_t bodyBytes = 0;
    while (true) {
        if (headEnd == std::string::npos) {
            headEnd = buffer.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                const auto headers = parseHeaders(buffer.substr(0, headEnd));
                const auto length = headers.find("content-length");
                bodyBytes = length == headers.end() ? 0 : std::stoul(length->second);
            }
        }
        if (headEnd != std::string::npos && buffer.size() >= headEnd + 4 + bodyBytes) {
            auto message = std::pair(buffer.substr(0, headEnd), buffer.substr(headEnd + 4, bodyBytes));
            buffer.erase(0, headEnd + 4 + bodyBytes);
            return message;
        }
        const ssize_t received = ::recv(socket, chunk.data(), chunk.size(), 0);
        if (received <= 0) {
            return std::nullopt;
        }
        buffer.append(chunk, 0, static_cast<std::size_t>(received));
    }
}

bool sendAll(int socket, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

http_request parseRequest(const std::string &head, const std::string &body)
{
    http_request request;
    const std::size_t methodEnd = head.find(' ');
    const std::size_t targetEnd = head.find(' ', methodEnd + 1);
    const std::string target = head.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const std::size_t question = std::min(target.find('?'), target.size());
    request.method = head.substr(0, methodEnd);
    request.path = target.substr(0, question);
    request.query = question < target.size() ? parseQuery(target.substr(question + 1)) : std::map<std::string, std::string>();
    request.headers = parseHeaders(head);
    request.body = body;
    return request;
}

void disableDelay(int socket)
{
    const int enabled = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

http_server::http_server(handler answer)
    : m_answer(std::move(answer))
    , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in any = loopback(0);
    if (::bind(m_listener, reinterpret_cast<const sockaddr *>(&any), sizeof(any)) != 0 || ::listen(m_listener, backlog) != 0) {
        std::abort();
    }
    m_address = "127.0.0.1:" + std::to_string(portOf(m_listener));
    std::thread([this] { acceptChannels(); }).detach();
}

const std::string &http_server::address() const
{
    return m_address;
}

void http_server::setSilent(bool isSilent)
{
    m_isSilent = isSilent;
}

void http_server::forgetChannels()
{
    ++m_life;
}

void http_server::acceptChannels()
{
    while (true) {
        const int socket = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket >= 0) {
            disableDelay(socket);
            std::thread([this, socket] { serveChannel(socket); }).detach();
        }
    }
}

void http_server::serveChannel(int socket)
{
    std::string buffer;
    const int life = m_life;
    while (const auto message = readMessage(socket, buffer)) {
        if (life != m_life) {
            break;
        }
        if (m_isSilent) {
            continue;
        }
        const http_response response = m_answer(parseRequest(message->first, message->second));
        if (response.status == 0 || m_isSilent || life != m_life) {
            break;
        }
        const std::string head = "HTTP/1.1 " + std::to_string(response.status)
            + " Status\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        if (!sendAll(socket, head + response.body)) {
            break;
        }
    }
    ::close(socket);
}

std::optional<http_response> sendRequest(const std::string &address, const std::string &method, const std::string &target, const std::string &host,
                                         const std::string &body, int timeoutMilliseconds)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval timeout{timeoutMilliseconds / 1000, (timeoutMilliseconds % 1000) * 1000};
    ::setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    ::setsockopt(socket, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    disableDelay(socket);
    const sockaddr_in server = loopback(std::stoi(address.substr(address.find(':') + 1)));
    std::optional<http_response> response;
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&server), sizeof(server)) == 0) {
        const std::string head = method + ' ' + target + " HTTP/1.1\r\nHost: " + host + "\r\nContent-Type: application/json\r\nDeadline-Ms: "
            + std::to_string(timeoutMilliseconds) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        std::string buffer;
        if (sendAll(socket, head + body)) {
            if (const auto message = readMessage(socket, buffer)) {
                response = http_response{std::stoi(message->first.substr(message->first.find(' ') + 1)), message->second};
            }
        }
    }
    ::close(socket);
    return response;
}

int findFreePort()
{
    // Below the ports that the system gives to outgoing channels, which could take a free one before the process binds it.
    constexpr int firstPort = 12'000;
    constexpr int portCount = 20'000;
    constexpr int portsPerProcess = 97;
    static int next = static_cast<int>(::getpid()) * portsPerProcess % portCount;
    while (true) {
        const int port = firstPort + next++ % portCount;
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool isFree = ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (isFree) {
            return port;
        }
    }
}

} // namespace review
