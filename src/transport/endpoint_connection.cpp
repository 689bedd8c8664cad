#include "transport/endpoint_connection.h"

#include "transport/socket_address.h"

#include <algorithm>
#include <cassert>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace parsleyglade {

namespace {

constexpr int statusTooManyRequests = 429;
constexpr int statusServiceUnavailable = 503;

evhttp_cmd_type toEvhttpCommand(const std::string &method)
{
    if (method == "GET") {
        return EVHTTP_REQ_GET;
    }
    if (method == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (method == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    return EVHTTP_REQ_POST;
}

std::vector<http_header> readHeaders(evhttp_request *response)
{
    std::vector<http_header> headers;
    for (evkeyval *header = evhttp_request_get_input_headers(response)->tqh_first; header != nullptr; header = header->next.tqe_next) {
        headers.emplace_back(header->key, header->value);
    }
    return headers;
}

/** A response that is delimited only by the end of the connection can't be distinguished from a truncated one. */
bool hasExplicitLength(const http_response &response)
{
    const auto encoding = findHeader(response.headers, "Transfer-Encoding");
    return findHeader(response.headers, "Content-Length").has_value() || (encoding && *encoding == "chunked");
}

bool isJobNotStarted(const http_response &response)
{
    const auto notStarted = findHeader(response.headers, "Job-Not-Started");
    return (response.status == statusTooManyRequests || response.status == statusServiceUnavailable) && notStarted && *notStarted == "true";
}

} // namespace

endpoint_connection::endpoint_connection(event_loop &loop, const endpoint_client_settings &settings, const std::string &address)
    : m_loop(loop)
    , m_settings(settings)
{
    const auto target = parseSocketAddress(address);
    if (!target) {
        return;
    }

    m_buffer = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    evbuffer_add_cb(bufferevent_get_output(m_buffer), &onWritten, this);
    m_connection = evhttp_connection_base_bufferevent_new(loop.base(), nullptr, m_buffer, target->address.c_str(), target->port);
    evhttp_connection_set_retries(m_connection, 0);
    evhttp_connection_set_max_body_size(m_connection, static_cast<ev_ssize_t>(settings.maximumResponseBytes));
    evhttp_connection_set_max_headers_size(m_connection, static_cast<ev_ssize_t>(settings.maximumResponseHeaderBytes));
    evhttp_connection_set_closecb(m_connection, &onConnectionClosed, this);
}

endpoint_connection::~endpoint_connection()
{
    closeSocket();
}

void endpoint_connection::closeSocket()
{
    if (m_connection == nullptr) {
        return;
    }

    evhttp_connection_set_closecb(m_connection, nullptr, nullptr);
    evbuffer_remove_cb(bufferevent_get_output(m_buffer), &onWritten, this);
    evhttp_connection_free(m_connection);
    m_connection = nullptr;
    m_buffer = nullptr;
    m_isClosed = true;
}

bool endpoint_connection::isValid() const
{
    return m_connection != nullptr;
}

bool endpoint_connection::isUsable() const
{
    return !m_isClosed && m_loop.now() - m_lastUsed <= m_settings.idleTimeout && evbuffer_get_length(bufferevent_get_input(m_buffer)) == 0;
}

void endpoint_connection::call(const http_request &request, const std::string &requestId, duration timeout, completion done)
{
    assert(!m_done);
    m_loop.retain(shared_from_this());
    m_done = std::move(done);
    m_requestId = requestId;
    m_writtenBytes = 0;

    evhttp_request *outgoing = evhttp_request_new(&onResponse, this);
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    for (const auto &[name, value] : request.headers) {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evhttp_add_header(headers, "Request-Id", requestId.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());

    // The timeout covers connecting and receiving the complete response; evhttp's own timeouts restart with each read.
    m_timeout = m_loop.after(timeout, [this] { handleTimeout(); });
    m_connectTimeout = m_loop.after(std::min(timeout, m_settings.connectTimeout), [this] {
        if (m_writtenBytes == 0) {
            handleTimeout();
        }
    });

    const std::string target = request.query.empty() ? request.path : request.path + '?' + request.query;
    if (evhttp_make_request(m_connection, outgoing, toEvhttpCommand(request.method), target.c_str()) != 0) {
        m_loop.post([self = shared_from_this()] { self->finish(nullptr); });
    }
}

void endpoint_connection::onWritten(evbuffer *, const evbuffer_cb_info *info, void *argument)
{
    static_cast<endpoint_connection *>(argument)->m_writtenBytes += info->n_deleted;
}

void endpoint_connection::onConnectionClosed(evhttp_connection *, void *argument)
{
    static_cast<endpoint_connection *>(argument)->m_isClosed = true;
}

void endpoint_connection::onResponse(evhttp_request *response, void *argument)
{
    static_cast<endpoint_connection *>(argument)->finish(response);
}

void endpoint_connection::handleTimeout()
{
    if (!m_done) {
        return;
    }

    // The socket is closed before the result is made, so that nothing can be sent after not_sent has been reported.
    closeSocket();
    complete(makeFailureResult(result_code::answer_timeout), false);
}

void endpoint_connection::finish(evhttp_request *response)
{
    if (!m_done || m_connection == nullptr) {
        return;
    }

    const bool hasSurplusInput = evbuffer_get_length(bufferevent_get_input(m_buffer)) != 0;
    const bool hasUnsentOutput = evbuffer_get_length(bufferevent_get_output(m_buffer)) != 0;
    call_result result = classifyResponse(response);
    bool isComplete = result.progress == call_progress::responded || result.progress == call_progress::refused;

    // A response that arrives before the request has been written completely can't belong to it.
    if (isComplete && hasUnsentOutput) {
        result = makeFailureResult(result_code::answer_cut);
        isComplete = false;
    }

    const auto connectionHeader = findHeader(result.response.headers, "Connection");
    const bool endpointCloses = connectionHeader && *connectionHeader == "close";
    complete(std::move(result), isComplete && !hasSurplusInput && !endpointCloses && !m_isClosed);
}

call_result endpoint_connection::classifyResponse(evhttp_request *response) const
{
    if (response == nullptr || evhttp_request_get_response_code(response) == 0) {
        return makeFailureResult(result_code::connection_lost);
    }

    call_result result;
    result.response.status = evhttp_request_get_response_code(response);
    result.response.headers = readHeaders(response);
    evbuffer *body = evhttp_request_get_input_buffer(response);
    result.response.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, result.response.body.data(), result.response.body.size());

    const auto responseId = findHeader(result.response.headers, "Request-Id");
    if (!hasExplicitLength(result.response) || (responseId && *responseId != m_requestId)) {
        return makeFailureResult(result_code::answer_cut);
    }

    result.progress = isJobNotStarted(result.response) ? call_progress::refused : call_progress::responded;
    return result;
}

call_result endpoint_connection::makeFailureResult(result_code code) const
{
    call_result result;
    result.progress = m_writtenBytes == 0 ? call_progress::not_sent : call_progress::outcome_unknown;
    result.code = code;
    return result;
}

void endpoint_connection::complete(call_result result, bool reusable)
{
    m_timeout.cancel();
    m_connectTimeout.cancel();
    m_lastUsed = m_loop.now();
    if (!reusable) {
        m_isClosed = true;
    }

    // evhttp is still using the connection further up the call stack, so it must not be destroyed before the current callback has returned.
    m_loop.post([self = shared_from_this(), done = std::exchange(m_done, nullptr), result = std::move(result), reusable]() mutable {
        done(std::move(result), reusable);
    });
    m_loop.release(this);
}

} // namespace parsleyglade
