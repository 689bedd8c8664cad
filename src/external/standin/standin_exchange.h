#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_request;

namespace parsleyglade {

/** A request received by a stand-in server, and the means to respond to it. Responses after the connection has closed are ignored. @see standin_server */
class standin_exchange
{
public:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    /** @param request Must be the one passed to the callback of the server; owned by evhttp. */
    explicit standin_exchange(evhttp_request *request);
    standin_exchange(const standin_exchange &) = delete;
    standin_exchange &operator=(const standin_exchange &) = delete;

    const std::string &method() const;
    const std::string &path() const;
    const std::string &body() const;

    /** Decoded value of a query parameter, or nothing when it is absent. */
    std::optional<std::string> queryParameter(const std::string &key) const;

    /** Value of the first header with this name, or empty. Names are compared case-insensitively. */
    const std::string &header(std::string_view headerName) const;

    /** Identifies the connection among those open at the same time. */
    const void *connection() const;

    /** Whether a response can still be sent. */
    bool isOpen() const;

    /** Sends the response; Content-Length is added. */
    void reply(int status, const header_list &headers, const std::string &body);

    /** Sends a response with a JSON body. */
    void replyJson(int status, const std::string &json, header_list headers = {});

    /** Announces the length of the complete body, sends only its first bytes and closes the connection. */
    void replyTruncated(int status, const header_list &headers, const std::string &body, std::size_t sentBytes);

    /** Sends the response and surplus bytes after it. */
    void replyWithSurplus(int status, const header_list &headers, const std::string &body, const std::string &surplus);

    /** Closes the connection without sending a response. */
    void closeWithoutResponse();

    /** Called by the server when the connection is closed; later responses are ignored. */
    void markClosed();

private:
    evhttp_request *m_request;
    const void *m_connection = nullptr;
    std::string m_method;
    std::string m_path;
    std::string m_body;
    std::vector<std::pair<std::string, std::string>> m_queryParameters;
    std::vector<std::pair<std::string, std::string>> m_headers;
};

} // namespace parsleyglade
