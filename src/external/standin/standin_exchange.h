#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

struct evhttp_request;

namespace parsleyglade {

/** One request at a stand-in server and its answer. Answers after the connection has closed are ignored. @see standin_server */
class standin_exchange
{
public:
    using header_list = std::vector<std::pair<std::string, std::string>>;

    /** @param request Owned by evhttp until it is answered; must be the one that its server's callback received. */
    explicit standin_exchange(evhttp_request *request);
    standin_exchange(const standin_exchange &) = delete;
    standin_exchange &operator=(const standin_exchange &) = delete;

    const std::string &method() const;
    const std::string &path() const;
    const std::string &body() const;

    /** Value of a query parameter, decoded. */
    std::optional<std::string> queryParameter(const std::string &key) const;

    /** Value of the first header with this name, or empty. */
    const std::string &header(std::string_view headerName) const;

    /** Identifies the connection among those open at the same time. */
    const void *connection() const;

    /** Whether the request can still be answered. */
    bool isOpen() const;

    void reply(int status, const header_list &headers, const std::string &body);

    /** Answers with a JSON body. */
    void replyJson(int status, const std::string &json, header_list headers = {});

    /** Announces the whole body, sends only the first bytes of it and closes the connection. */
    void replyTruncated(int status, const header_list &headers, const std::string &body, std::size_t sentBytes);

    /** Answers and sends further bytes after the answer. */
    void replyWithSurplus(int status, const header_list &headers, const std::string &body, const std::string &surplus);

    /** Closes the connection without an answer. */
    void closeWithoutResponse();

    /** Marks the connection as closed, so that later answers are ignored. */
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
