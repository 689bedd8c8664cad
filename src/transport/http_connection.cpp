#include "transport/http_connection.h"

#include "runtime/pending_input.h"
#include "transport/lingering_close.h"
#include "transport/request_head.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <strings.h>
#include <unistd.h>

namespace parsleyglade {

namespace {

// In addition to the headers, which http_server_settings limits.
constexpr std::size_t maximumRequestLineBytes = 8192;

constexpr std::array<std::string_view, 9> methodNames{"GET", "HEAD", "POST", "PUT", "DELETE", "MKCOL", "COPY", "MOVE", "OPTIONS"};

std::string methodName(evhtp_request_t *request)
{
    const auto method = static_cast<std::size_t>(evhtp_request_get_method(request));
    return std::string(method < methodNames.size() ? methodNames[method] : "OTHER");
}

std::string text(const char *value)
{
    return value == nullptr ? std::string() : std::string(value);
}

http_request readRequest(evhtp_request_t *request, const std::string &query)
{
    http_request received;
    received.method = methodName(request);
    received.query = query;
    if (request->uri != nullptr) {
        received.path = request->uri->path != nullptr ? text(request->uri->path->full) : std::string();
    }

    const auto addHeader = [](evhtp_kv_t *header, void *argument) {
        static_cast<std::vector<http_header> *>(argument)->emplace_back(std::string(header->key, header->klen), std::string(header->val, header->vlen));
        return 0;
    };
    evhtp_kvs_for_each(request->headers_in, addHeader, &received.headers);

    const std::size_t size = evbuffer_get_length(request->buffer_in);
    received.body.resize(size);
    evbuffer_copyout(request->buffer_in, received.body.data(), size);
    return received;
}

std::string formatClosingResponse(const http_response &response)
{
    std::string raw = "HTTP/1.1 " + std::to_string(response.status) + ' ' + std::string(reasonPhrase(response.status)) + "\r\n";
    for (const auto &[name, value] : response.headers) {
        raw.append(name).append(": ").append(value).append("\r\n");
    }
    raw.append("Content-Length: ").append(std::to_string(response.body.size()));
    return raw.append("\r\nConnection: close\r\n\r\n").append(response.body);
}

std::size_t headerCount(evhtp_headers_t *headers, std::string_view wanted)
{
    struct counter
    {
        std::string_view name;
        std::size_t found = 0;
    };
    counter result{wanted};
    const auto count = [](evhtp_header_t *header, void *argument) {
        auto *total = static_cast<counter *>(argument);
        const bool isWanted = header->klen == total->name.size() && ::strncasecmp(header->key, total->name.data(), header->klen) == 0;
        total->found += isWanted ? 1 : 0;
        return 0;
    };
    evhtp_headers_for_each(headers, count, &result);
    return result.found;
}

bool hasValidHost(evhtp_request_t *request, evhtp_headers_t *headers)
{
    const std::size_t hosts = headerCount(headers, "Host");
    return hosts == 1 || (hosts == 0 && evhtp_request_get_proto(request) == EVHTP_PROTO_10);
}

template <typename Hook> evhtp_hook untypedHook(Hook hook)
{
    // libevhtp declares hooks without parameters and calls each with its own type. The cast through void (*)() avoids a compiler warning.
    return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(hook));
}

} // namespace

http_connection::http_connection(context &owner, evhtp_connection_t *connection)
    : m_context(owner)
    , m_connection(connection)
{
}

void http_connection::start()
{
    m_context.loop.retain(shared_from_this());
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_headers_start, untypedHook(&onHeadersStart), this);
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_header, untypedHook(&onHeader), this);
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_headers, untypedHook(&onHeaders), this);
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_read, untypedHook(&onBody), this);
    evhtp_connection_set_hook(m_connection, evhtp_hook_on_connection_fini, untypedHook(&onClosed), this);

    bufferevent *transport = evhtp_connection_get_bev(m_connection);
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void *argument = nullptr;
    bufferevent_getcb(transport, &m_parseCallback, &writeCallback, &eventCallback, &argument);
    bufferevent_setcb(transport, &onReadable, writeCallback, eventCallback, argument);
    resetForNextRequest();
}

http_connection *http_connection::fromLibevhtp(evhtp_connection_t *connection)
{
    // Each hook of a connection has the http_connection as its argument; the body hook is one of them.
    const evhtp_hooks_t *hooks = evhtp_connection_get_hooks(connection);
    return hooks == nullptr ? nullptr : static_cast<http_connection *>(hooks->on_read_arg);
}

void http_connection::resetForNextRequest()
{
    m_idleSince = m_context.loop.now();
    m_headerBytes = 0;
    m_bodyBytes = 0;
    m_isReading = false;
    m_requestTimeout.cancel();
}

void http_connection::beginRequest()
{
    if (!m_isReading) {
        m_isReading = true;
        m_requestTimeout = m_context.loop.after(m_context.settings.requestTimeout, [this] { refuse(result_code::request_timeout); });
    }
}

void http_connection::onReadable(bufferevent *transport, void *argument)
{
    auto *connection = static_cast<evhtp_connection_t *>(argument);
    http_connection *self = fromLibevhtp(connection);
    if (self == nullptr || self->mayParse(bufferevent_get_input(transport))) {
        self->m_parseCallback(transport, argument);
    }
}

/** libevhtp misparses a head that arrives in several reads, so its parser is called only once the head is complete. */
bool http_connection::mayParse(evbuffer *input)
{
    if (m_isClosing) {
        return false;
    }
    if (m_isHeadParsed || m_request != nullptr || beginsWithCompleteHead(input)) {
        return true;
    }
    if (evbuffer_get_length(input) > m_context.settings.maximumHeaderBytes + maximumRequestLineBytes) {
        refuse(result_code::header_too_large);
    } else if (evbuffer_get_length(input) > 0) {
        beginRequest();
    }
    return false;
}

void http_connection::send(const http_response &response)
{
    if (m_request == nullptr || m_connection == nullptr || m_isClosing) {
        return;
    }

    // libevhtp would parse an incomplete next request as soon as the response is sent, and misparse it. The connection is closed instead, and the
    // caller must resend that request.
    evbuffer *input = bufferevent_get_input(evhtp_connection_get_bev(m_connection));
    const bool hasPartialHead = evbuffer_get_length(input) > 0 && !beginsWithCompleteHead(input);
    if (m_context.closeAfterResponse || hasPartialHead) {
        closeWith(response);
        return;
    }

    evhtp_request_t *request = std::exchange(m_request, nullptr);
    const auto add = [request](const std::string &name, const std::string &value) {
        constexpr char copied = 1;
        evhtp_headers_add_header(request->headers_out, evhtp_header_new(name.c_str(), value.c_str(), copied, copied));
    };
    for (const auto &[name, value] : response.headers) {
        add(name, value);
    }
    add("Content-Length", std::to_string(response.body.size()));
    evbuffer_add(request->buffer_out, response.body.data(), response.body.size());

    resetForNextRequest();
    evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
    if (m_connection != nullptr && (m_connection->flags & EVHTP_CONN_FLAG_PAUSED) != 0) {
        evhtp_connection_resume(m_connection);
    }
}

void http_connection::dispatch(evhtp_request_t *request)
{
    m_requestTimeout.cancel();
    m_isReading = false;
    m_isHeadParsed = false;
    if (m_isClosing) {
        return;
    }

    m_request = request;
    evhtp_request_pause(request);
    m_context.handler(std::make_shared<http_exchange>(weak_from_this(), readRequest(request, m_query)));
}

bool http_connection::isBusy() const
{
    return m_isReading || m_request != nullptr;
}

void http_connection::closeWhenIdle()
{
    if (isBusy() || m_connection == nullptr || m_isClosing) {
        return;
    }

    // Posted, because libevhtp may be using the connection further up the call stack.
    m_context.loop.post([self = shared_from_this()] { self->closeIfIdle(); });
}

/** Closing a socket with unread bytes resets the connection, and a request in those bytes would get no response. */
void http_connection::closeIfIdle()
{
    if (m_connection == nullptr || isBusy() || m_isClosing) {
        return;
    }
    // A caller that has just connected, or has just received a response, may be about to send a request.
    const time_point closeAt = m_idleSince + m_context.settings.drainIdleTimeout;
    if (m_context.loop.now() < closeAt || hasPendingInput(m_connection->sock)) {
        const duration untilClose = closeAt - m_context.loop.now();
        m_inputCheck = m_context.loop.after(std::max(untilClose, pendingInputCheckInterval), [this] { closeIfIdle(); });
        return;
    }
    evhtp_connection_free(m_connection);
}

void http_connection::abort()
{
    if (m_connection != nullptr) {
        evhtp_connection_free(m_connection);
    }
}

void http_connection::refuse(result_code code)
{
    if (m_connection != nullptr) {
        closeWith(m_context.makeErrorResponse(code));
    }
}

void http_connection::closeWith(const http_response &response)
{
    if (m_isClosing) {
        return;
    }

    m_isClosing = true;
    m_closingResponse = formatClosingResponse(response);
    m_requestTimeout.cancel();
    bufferevent_disable(evhtp_connection_get_bev(m_connection), EV_READ);

    // libevhtp may be using this connection further up the call stack, so it is freed by a posted task.
    m_context.loop.post([self = shared_from_this()] { self->abort(); });
}

void http_connection::startLingeringClose(int socket)
{
    const int duplicate = ::dup(socket);
    if (duplicate >= 0) {
        lingering_close::start(m_context.loop, duplicate, m_closingResponse, m_context.lingeringCloseToken);
    }
}

evhtp_res http_connection::onHeadersStart(evhtp_request_t *, void *argument)
{
    auto *self = static_cast<http_connection *>(argument);
    self->m_headerBytes = 0;
    self->m_bodyBytes = 0;
    self->m_isHeadParsed = true;
    self->beginRequest();
    return EVHTP_RES_OK;
}

evhtp_res http_connection::onHeader(evhtp_request_t *, evhtp_header_t *header, void *argument)
{
    auto *self = static_cast<http_connection *>(argument);
    constexpr std::size_t separatorBytes = 4;
    self->m_headerBytes += header->klen + header->vlen + separatorBytes;
    if (self->m_headerBytes > self->m_context.settings.maximumHeaderBytes) {
        self->refuse(result_code::header_too_large);
    }
    return EVHTP_RES_OK;
}

evhtp_res http_connection::onHeaders(evhtp_request_t *request, evhtp_headers_t *headers, void *argument)
{
    static_cast<http_connection *>(argument)->checkHeaders(request, headers);
    return EVHTP_RES_OK;
}

void http_connection::checkHeaders(evhtp_request_t *request, evhtp_headers_t *headers)
{
    m_query = request->uri != nullptr ? text(reinterpret_cast<const char *>(request->uri->query_raw)) : std::string();

    // RFC 9112: a message with several lengths, or an HTTP/1.1 request without exactly one Host, must not be interpreted.
    if (headerCount(headers, "Content-Length") > 1 || !hasValidHost(request, headers)) {
        refuse(result_code::invalid_request);
        return;
    }

    const char *lengthText = evhtp_header_find(headers, "Content-Length");
    if (lengthText == nullptr) {
        return;
    }

    // A body with both framings would allow request smuggling: a second request could bypass the limits.
    if (evhtp_header_find(headers, "Transfer-Encoding") != nullptr) {
        refuse(result_code::invalid_request);
        return;
    }

    const std::string_view digits(lengthText);
    std::size_t length = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), length);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        refuse(result_code::invalid_request);
        return;
    }

    if (length > m_context.settings.maximumBodyBytes) {
        refuse(result_code::body_too_large);
    }
}

evhtp_res http_connection::onBody(evhtp_request_t *, evbuffer *buffer, void *argument)
{
    auto *self = static_cast<http_connection *>(argument);
    self->m_bodyBytes += evbuffer_get_length(buffer);
    if (self->m_bodyBytes > self->m_context.settings.maximumBodyBytes) {
        self->refuse(result_code::body_too_large);
        evbuffer_drain(buffer, evbuffer_get_length(buffer));
    }
    return EVHTP_RES_OK;
}

evhtp_res http_connection::onClosed(evhtp_connection_t *connection, void *argument)
{
    static_cast<http_connection *>(argument)->end(connection);
    return EVHTP_RES_OK;
}

void http_connection::end(evhtp_connection_t *connection)
{
    // libevhtp closes the connection without a response when it can't parse the input.
    const bool malformed = htparser_get_error(connection->parser) != htparse_error_none;
    if (malformed && !m_isClosing && m_request == nullptr) {
        m_closingResponse = formatClosingResponse(m_context.makeErrorResponse(result_code::invalid_request));
    }
    if (!m_closingResponse.empty()) {
        startLingeringClose(bufferevent_getfd(evhtp_connection_get_bev(connection)));
    }

    m_requestTimeout.cancel();
    m_inputCheck.cancel();
    m_connection = nullptr;
    m_request = nullptr;
    m_isReading = false;
    m_context.closed(this);
    m_context.loop.release(this);
}

} // namespace parsleyglade
