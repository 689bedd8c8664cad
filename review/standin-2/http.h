#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace review {

/** One HTTP request, with the names of its headers in lower case. */
struct http_request
{
    std::string method;
    std::string path;
    std::map<std::string, std::string> query;
    std::map<std::string, std::string> headers;
    std::string body;
};

/** One HTTP response. The status 0 means that the channel ends without a response. */
struct http_response
{
    int status = 0;
    std::string body;
};

/** An HTTP/1.1 server on a free loopback port, with a thread for each channel. It lives until the process ends. */
class http_server
{
public:
    using handler = std::function<http_response(const http_request &)>;

    explicit http_server(handler answer);
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    /** Returns IP:PORT. */
    const std::string &address() const;

    /** While silent, requests are read and neither carried out nor answered, as by a machine without power. */
    void setSilent(bool isSilent);

    /** Ends each open channel, without an answer, when its next request arrives, as a machine does that has started anew. */
    void forgetChannels();

private:
    void acceptChannels();
    void serveChannel(int socket);

    handler m_answer;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_isSilent{false};
    std::atomic<int> m_life{0};
};

/** Sends one request to IP:PORT on a channel of its own. Returns nothing when there is no complete response in time. */
std::optional<http_response> sendRequest(const std::string &address, const std::string &method, const std::string &target, const std::string &host,
                                         const std::string &body, int timeoutMilliseconds);

/** Returns a loopback port that was free just now. */
int findFreePort();

} // namespace review
