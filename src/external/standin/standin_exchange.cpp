#include "external/standin/standin_exchange.h"

#include <algorithm>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>

namespace parsleyglade {

namespace {

std::string methodName(evhttp_cmd_type command)
{
    constexpr std::array<std::pair<evhttp_cmd_type, const char *>, 7> names{{{EVHTTP_REQ_GET, "GET"},
                                                                             {EVHTTP_REQ_POST, "POST"},
                                                                             {EVHTTP_REQ_PUT, "PUT"},
                                                                             {EVHTTP_REQ_DELETE, "DELETE"},
                                                                             {EVHTTP_REQ_HEAD, "HEAD"},
                                                                             {EVHTTP_REQ_PATCH, "PATCH"},
                                                                             {EVHTTP_REQ_OPTIONS, "OPTIONS"}}};
    const auto *const found = std::find_if(names.begin(), names.end(), [command](const auto &row) { return row.first == command; });
    return found == names.end() ? "" : found->second;
}

std::vector<std::pair<std::string, std::string>> copyFields(const evkeyvalq *fields)
{
    std::vector<std::pair<std::string, std::string>> result;
    for (const evkeyval *field = fields->tqh_first; field != nullptr; field = field->next.tqe_next) {
        result.emplace_back(field->key, field->value);
    }
    return result;
}

void send(evhttp_request *request, int status, const standin_exchange::header_list &headers, std::string_view body)
{
    evkeyvalq *output = evhttp_request_get_output_headers(request);
    for (const auto &[headerName, value] : headers) {
        evhttp_add_header(output, headerName.c_str(), value.c_str());
    }
    evbuffer *buffer = evhttp_request_get_output_buffer(request);
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(request, status, nullptr, nullptr);
}

} // namespace

standin_exchange::standin_exchange(evhttp_request *request)
    : m_request(request)
    , m_connection(evhttp_request_get_connection(request))
    , m_method(methodName(evhttp_request_get_command(request)))
    , m_headers(copyFields(evhttp_request_get_input_headers(request)))
{
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(request);
    if (const char *path = evhttp_uri_get_path(uri)) {
        m_path = path;
    }
    if (const char *text = evhttp_uri_get_query(uri)) {
        evkeyvalq parameters{};
        if (evhttp_parse_query_str(text, &parameters) == 0) {
            m_queryParameters = copyFields(&parameters);
        }
        evhttp_clear_headers(&parameters);
    }

    evbuffer *body = evhttp_request_get_input_buffer(request);
    m_body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, m_body.data(), m_body.size());
}

const std::string &standin_exchange::method() const
{
    return m_method;
}

const std::string &standin_exchange::path() const
{
    return m_path;
}

const std::string &standin_exchange::body() const
{
    return m_body;
}

std::optional<std::string> standin_exchange::queryParameter(const std::string &key) const
{
    const auto found = std::find_if(m_queryParameters.begin(), m_queryParameters.end(), [&](const auto &field) { return field.first == key; });
    if (found == m_queryParameters.end()) {
        return std::nullopt;
    }
    return found->second;
}

const std::string &standin_exchange::header(std::string_view headerName) const
{
    static const std::string absent;
    const std::string wanted(headerName);
    const auto found
        = std::find_if(m_headers.begin(), m_headers.end(), [&](const auto &field) { return strcasecmp(field.first.c_str(), wanted.c_str()) == 0; });
    return found == m_headers.end() ? absent : found->second;
}

const void *standin_exchange::connection() const
{
    return m_connection;
}

bool standin_exchange::isOpen() const
{
    return m_request != nullptr;
}

void standin_exchange::reply(int status, const header_list &headers, const std::string &body)
{
    if (evhttp_request *request = std::exchange(m_request, nullptr)) {
        send(request, status, headers, body);
    }
}

void standin_exchange::replyJson(int status, const std::string &json, header_list headers)
{
    headers.emplace_back("Content-Type", "application/json");
    reply(status, headers, json);
}

void standin_exchange::replyTruncated(int status, const header_list &headers, const std::string &body, std::size_t sentBytes)
{
    if (evhttp_request *request = std::exchange(m_request, nullptr)) {
        header_list allHeaders = headers;
        allHeaders.emplace_back("Content-Length", std::to_string(body.size()));
        allHeaders.emplace_back("Connection", "close");
        send(request, status, allHeaders, std::string_view(body).substr(0, sentBytes));
    }
}

void standin_exchange::replyWithSurplus(int status, const header_list &headers, const std::string &body, const std::string &surplus)
{
    if (evhttp_request *request = std::exchange(m_request, nullptr)) {
        bufferevent *transport = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
        send(request, status, headers, body);
        evbuffer_add(bufferevent_get_output(transport), surplus.data(), surplus.size());
    }
}

void standin_exchange::closeWithoutResponse()
{
    if (evhttp_request *request = std::exchange(m_request, nullptr)) {
        evhttp_connection_free(evhttp_request_get_connection(request));
    }
}

void standin_exchange::markClosed()
{
    m_request = nullptr;
}

} // namespace parsleyglade
