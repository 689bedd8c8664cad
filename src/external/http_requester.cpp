#include "external/http_requester.h"

#include "external/delayed_calls.h"
#include "runtime/bulk_transfer.h"
#include "runtime/pending_input.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <list>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>

namespace parsleyglade {

namespace {

struct connection_deleter
{
    void operator()(evhttp_connection *connection) const
    {
        evhttp_connection_free(connection);
    }
};

struct endpoint_address
{
    std::string ip;
    std::uint16_t port = 0;
};

std::optional<endpoint_address> parseAddress(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }

    endpoint_address address{text.substr(0, colon), 0};
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, address.port);
    if (parsed.ec != std::errc{} || parsed.ptr != end || address.port == 0) {
        return std::nullopt;
    }

    return address;
}

std::optional<evhttp_cmd_type> parseMethod(const std::string &method)
{
    constexpr std::array<std::pair<std::string_view, evhttp_cmd_type>, 6> methods{{{"GET", EVHTTP_REQ_GET},
                                                                                   {"POST", EVHTTP_REQ_POST},
                                                                                   {"PUT", EVHTTP_REQ_PUT},
                                                                                   {"DELETE", EVHTTP_REQ_DELETE},
                                                                                   {"HEAD", EVHTTP_REQ_HEAD},
                                                                                   {"PATCH", EVHTTP_REQ_PATCH}}};
    const auto *const found = std::find_if(methods.begin(), methods.end(), [&](const auto &row) { return row.first == method; });
    if (found == methods.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::string_view describeError(evhttp_request_error error)
{
    switch (error) {
    case EVREQ_HTTP_TIMEOUT:
        return "the connection timed out";
    case EVREQ_HTTP_EOF:
        return "the connection was closed before the response was complete";
    case EVREQ_HTTP_INVALID_HEADER:
        return "the response has an invalid header";
    case EVREQ_HTTP_BUFFER_ERROR:
        return "reading or writing failed";
    case EVREQ_HTTP_REQUEST_CANCEL:
        return "the request was cancelled";
    case EVREQ_HTTP_DATA_TOO_LONG:
        return "the response exceeds the maximum size";
    }
    return "the request failed";
}

http_result failedResult(http_delivery delivery, std::string reason)
{
    http_result result;
    result.delivery = delivery;
    result.reason = std::move(reason);
    return result;
}

http_result readResponse(evhttp_request *request)
{
    http_result result;
    result.delivery = http_delivery::responded;
    result.status = evhttp_request_get_response_code(request);

    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *field = headers->tqh_first; field != nullptr; field = field->next.tqe_next) {
        result.headers.emplace_back(field->key, field->value);
    }

    evbuffer *body = evhttp_request_get_input_buffer(request);
    result.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, result.body.data(), result.body.size());
    return result;
}

} // namespace

struct http_requester::state
{
    struct connection
    {
        state *owner = nullptr;
        std::string address;
        std::unique_ptr<evhttp_connection, connection_deleter> handle;
        std::function<void(http_result)> done; /**< Set while a request is in flight. */
        evhttp_request *request = nullptr; /**< Owned by evhttp; valid while a request is in flight. */
        std::string reason;
        timer_subscription timeoutTimer;
        time_point startedAt;
        std::size_t receivedAtLastCheck = 0; /**< Bytes of the response at the last progress check. */
        time_point idleSince;
        std::list<std::unique_ptr<connection>>::iterator position; /**< In the list of all connections. */
        std::list<connection *>::iterator idlePosition; /**< In the list of idle connections; valid while isIdle. */
        bool isIdle = false;
        bool hasWritten = false; /**< Bytes of the request in flight were passed to the socket. */
    };

    state(event_loop &eventLoop, http_requester_settings values)
        : loop(eventLoop)
        , settings(values)
        , calls(eventLoop)
        , idleTimer(eventLoop.every(values.idleTimeout, [this] { closeIdleConnections(); }))
    {
    }

    static bool hasUnreadInput(const connection &item)
    {
        bufferevent *transport = evhttp_connection_get_bufferevent(item.handle.get());
        return evbuffer_get_length(bufferevent_get_input(transport)) > 0;
    }

    /** Whether the connection may carry another request. Pending input on an idle connection means that the server has closed it or has sent
        bytes that belong to no request. */
    static bool isReusable(const connection &item)
    {
        const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(item.handle.get()));
        return !hasUnreadInput(item) && (socket < 0 || !hasPendingInput(socket));
    }

    /** Bytes of the response received so far. */
    static std::size_t receivedBytes(const connection &item)
    {
        const std::size_t unparsed = evbuffer_get_length(bufferevent_get_input(evhttp_connection_get_bufferevent(item.handle.get())));
        return unparsed + (item.request == nullptr ? 0 : evbuffer_get_length(evhttp_request_get_input_buffer(item.request)));
    }

    void addIdle(connection &item)
    {
        item.isIdle = true;
        item.idleSince = loop.now();
        item.idlePosition = idleConnections.insert(idleConnections.end(), &item);
        idleByAddress[item.address].push_back(&item);
    }

    void removeIdle(connection &item)
    {
        item.isIdle = false;
        idleConnections.erase(item.idlePosition);
        const auto found = idleByAddress.find(item.address);
        std::erase(found->second, &item);
        if (found->second.empty()) {
            idleByAddress.erase(found);
        }
    }

    /** Closes the connection that has been idle for the longest time. @pre there is an idle connection */
    void closeOldestIdleConnection()
    {
        connection &oldest = *idleConnections.front();
        removeIdle(oldest);
        connections.erase(oldest.position);
    }

    void closeIdleConnections()
    {
        const time_point threshold = loop.now() - settings.idleTimeout;
        while (!idleConnections.empty() && idleConnections.front()->idleSince < threshold) {
            closeOldestIdleConnection();
        }
    }

    /** Returns the connection to the address that was used last, so that the others can time out. */
    connection *findIdleConnection(const std::string &address)
    {
        const auto found = idleByAddress.find(address);
        if (found == idleByAddress.end()) {
            return nullptr;
        }
        const auto newest = std::find_if(found->second.rbegin(), found->second.rend(), [](const connection *item) { return isReusable(*item); });
        return newest == found->second.rend() ? nullptr : *newest;
    }

    connection *openConnection(const std::string &address, const endpoint_address &parsed)
    {
        if (connections.size() >= settings.maximumConnections) {
            if (idleConnections.empty()) {
                return nullptr;
            }
            closeOldestIdleConnection();
        }

        auto item = std::make_unique<connection>();
        item->owner = this;
        item->address = address;
        item->handle.reset(evhttp_connection_base_bufferevent_new(loop.base(), nullptr, nullptr, parsed.ip.c_str(), parsed.port));
        if (!item->handle) {
            return nullptr;
        }

        evhttp_connection_set_max_headers_size(item->handle.get(), static_cast<ev_ssize_t>(settings.maximumHeaderBytes));
        evhttp_connection_set_max_body_size(item->handle.get(), static_cast<ev_ssize_t>(settings.maximumBodyBytes));
        allowBulkTransfer(evhttp_connection_get_bufferevent(item->handle.get()));
        connection &opened = *item;
        evbuffer_add_cb(bufferevent_get_output(evhttp_connection_get_bufferevent(opened.handle.get())), onOutputChange, &opened);
        opened.position = connections.insert(connections.end(), std::move(item));
        return &opened;
    }

    static void onOutputChange(evbuffer *, const evbuffer_cb_info *info, void *argument)
    {
        auto *item = static_cast<connection *>(argument);
        item->hasWritten = item->hasWritten || info->n_deleted > 0;
    }

    void completeLater(std::function<void(http_result)> done, http_result result)
    {
        calls.after(duration::zero(), [done = std::move(done), result = std::move(result)]() mutable { done(std::move(result)); });
    }

    void finishRequest(connection &item, http_result result, bool reusable)
    {
        if (!item.done) {
            return;
        }

        item.timeoutTimer.cancel();
        item.request = nullptr;
        completeLater(std::exchange(item.done, nullptr), std::move(result));
        if (reusable) {
            addIdle(item);
            return;
        }

        // evhttp still uses the connection during its callback, so the connection is freed in a later iteration of the event loop.
        resetOnClose(item);
        calls.after(duration::zero(), [this, &item] { connections.erase(item.position); });
    }

    /** Makes the close of the connection discard unsent bytes, so that the server does not execute an abandoned request later. */
    static void resetOnClose(const connection &item)
    {
        const evutil_socket_t socket = bufferevent_getfd(evhttp_connection_get_bufferevent(item.handle.get()));
        const linger reset{1, 0};
        if (socket >= 0) {
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        }
    }

    static void onError(evhttp_request_error error, void *argument)
    {
        static_cast<connection *>(argument)->reason = describeError(error);
    }

    static void onResponse(evhttp_request *request, void *argument)
    {
        auto *item = static_cast<connection *>(argument);
        if (request == nullptr) {
            const std::string reason = item->reason.empty() ? "the request failed" : item->reason;
            item->owner->finishRequest(*item, failedResult(http_delivery::failed, reason), false);
            return;
        }

        // evhttp passes a request without a response code only when the connection could not be opened; after later failures it passes no request.
        if (evhttp_request_get_response_code(request) == 0) {
            item->owner->finishRequest(*item, failedResult(http_delivery::unreachable, "the connection was refused"), false);
            return;
        }

        item->owner->finishRequest(*item, readResponse(request), !hasUnreadInput(*item));
    }

    /** Fails the request, unless its response may exceed the timeout and more of it was received since the last check. */
    void checkProgress(connection &item, duration progressTimeout, duration maximumDuration)
    {
        const std::size_t received = receivedBytes(item);
        const bool mayContinue = progressTimeout > duration::zero() && received > item.receivedAtLastCheck && loop.now() - item.startedAt < maximumDuration;
        if (!mayContinue && !item.hasWritten) {
            // Cancelled at once, because the connection might still open before it is closed.
            evhttp_cancel_request(std::exchange(item.request, nullptr));
            finishRequest(item, failedResult(http_delivery::unreachable, "the connection was not accepted before the timeout"), false);
            return;
        }
        if (!mayContinue) {
            const std::string bytes = std::to_string(received);
            finishRequest(item, failedResult(http_delivery::failed, "no complete response before the timeout, " + bytes + " bytes received"), false);
            return;
        }
        item.receivedAtLastCheck = received;
        item.timeoutTimer
            = loop.after(progressTimeout, [this, &item, progressTimeout, maximumDuration] { checkProgress(item, progressTimeout, maximumDuration); });
    }

    void startRequest(connection &item, const outgoing_request &request, evhttp_cmd_type method, std::function<void(http_result)> done)
    {
        if (item.isIdle) {
            removeIdle(item);
        }
        item.done = std::move(done);
        item.reason.clear();
        item.hasWritten = false;
        item.startedAt = loop.now();
        item.receivedAtLastCheck = 0;
        item.timeoutTimer = loop.after(request.timeout, [this, &item, progressTimeout = request.progressTimeout, maximumDuration = request.maximumDuration] {
            checkProgress(item, progressTimeout, maximumDuration);
        });

        // The timeout above also covers responses that are received slowly. The timeout of evhttp only covers inactivity and must not fire first.
        constexpr std::int64_t microsecondsPerSecond = 1'000'000;
        constexpr std::int64_t marginSeconds = 5;
        const timeval connectionTimeout{static_cast<time_t>(std::max(request.timeout, request.progressTimeout).count() / microsecondsPerSecond + marginSeconds),
                                        0};
        evhttp_connection_set_timeout_tv(item.handle.get(), &connectionTimeout);

        evhttp_request *outgoing = evhttp_request_new(onResponse, &item);
        item.request = outgoing;
        evhttp_request_set_error_cb(outgoing, onError);
        evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
        bool valid = evhttp_add_header(headers, "Host", item.address.c_str()) == 0;
        for (const auto &[headerName, value] : request.headers) {
            valid = evhttp_add_header(headers, headerName.c_str(), value.c_str()) == 0 && valid;
        }
        if (!valid) {
            evhttp_request_free(outgoing);
            item.request = nullptr;
            finishRequest(item, failedResult(http_delivery::not_sent, "a header of the request is invalid"), false);
            return;
        }
        evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());

        if (evhttp_make_request(item.handle.get(), outgoing, method, request.target.c_str()) != 0) {
            finishRequest(item, failedResult(http_delivery::not_sent, "no connection could be opened"), false);
        }
    }

    event_loop &loop;
    http_requester_settings settings;
    std::list<std::unique_ptr<connection>> connections;
    std::list<connection *> idleConnections; /**< The one that has been idle for the longest time first. */
    std::unordered_map<std::string, std::vector<connection *>> idleByAddress; /**< The one that was used last at the end. */
    delayed_calls calls;
    timer_subscription idleTimer;
};

http_requester::http_requester(event_loop &loop, http_requester_settings settings)
    : m_state(std::make_unique<state>(loop, settings))
{
}

http_requester::~http_requester() = default;

void http_requester::send(const outgoing_request &request, std::function<void(http_result)> done)
{
    const auto address = parseAddress(request.address);
    const auto method = parseMethod(request.method);
    if (!address || !method) {
        m_state->completeLater(std::move(done), failedResult(http_delivery::not_sent, address ? "unknown method" : "the address is not IP:PORT"));
        return;
    }

    auto *connection = m_state->findIdleConnection(request.address);
    if (connection == nullptr) {
        connection = m_state->openConnection(request.address, *address);
    }
    if (connection == nullptr) {
        m_state->completeLater(std::move(done), failedResult(http_delivery::not_sent, "too many connections"));
        return;
    }

    m_state->startRequest(*connection, request, *method, std::move(done));
}

std::size_t http_requester::connectionCount() const
{
    return m_state->connections.size();
}

} // namespace parsleyglade
