#include "operator_client/http_exchange.h"

#include "core/json_checker.h"
#include "runtime/event_loop.h"

#include <cassert>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <memory>
#include <optional>

namespace parsleyglade {

namespace {

struct connection_deleter
{
    void operator()(evhttp_connection *connection) const
    {
        evhttp_connection_free(connection);
    }
};

/** State of one request, filled in by the libevent callbacks. */
struct exchange_state
{
    event_loop *loop = nullptr;
    std::optional<admin_response> response;
    bool isOver = false;
    bool wasConnected = false;
    bool timedOut = false;

    void finish()
    {
        isOver = true;
        loop->stop();
    }
};

/** Called for errors after the connection was established. libevent then calls the completion callback of the request as well. */
void onError(evhttp_request_error error, void *argument)
{
    auto *state = static_cast<exchange_state *>(argument);
    state->wasConnected = true;
    state->timedOut = error == EVREQ_HTTP_TIMEOUT;
}

void onResponse(evhttp_request *request, void *argument)
{
    auto *state = static_cast<exchange_state *>(argument);
    if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
        evbuffer *input = evhttp_request_get_input_buffer(request);
        const std::size_t size = evbuffer_get_length(input);
        std::string body(size, '\0');
        evbuffer_copyout(input, body.data(), size);
        state->response = admin_response{evhttp_request_get_response_code(request), std::move(body)};
    }
    state->finish();
}

evhttp_cmd_type commandOf(const std::string &method)
{
    if (method == "POST") {
        return EVHTTP_REQ_POST;
    }
    return method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

timeval toTimeval(duration value)
{
    constexpr std::int64_t microsecondsPerSecond = 1'000'000;
    return {static_cast<time_t>(value.count() / microsecondsPerSecond), static_cast<suseconds_t>(value.count() % microsecondsPerSecond)};
}

} // namespace

outcome<admin_response> sendAdminRequest(event_loop &loop, const std::string &address, const std::string &token, const admin_request &request, duration timeout)
{
    assert(isCanonicalAddress(address));
    const std::size_t colon = address.find(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)));
    const std::unique_ptr<evhttp_connection, connection_deleter> connection(
        evhttp_connection_base_new(loop.base(), nullptr, address.substr(0, colon).c_str(), port));
    const timeval connectionTimeout = toTimeval(timeout);
    evhttp_connection_set_timeout_tv(connection.get(), &connectionTimeout);
    evhttp_connection_set_max_body_size(connection.get(), static_cast<ev_ssize_t>(maximumResponseBytes));

    exchange_state state;
    state.loop = &loop;
    evhttp_request *message = evhttp_request_new(onResponse, &state);
    evhttp_request_set_error_cb(message, onError);
    evkeyvalq *headers = evhttp_request_get_output_headers(message);
    evhttp_add_header(headers, "Host", address.c_str());
    evhttp_add_header(headers, "Connection", "close");
    if (!token.empty()) {
        evhttp_add_header(headers, "Authorization", ("Bearer " + token).c_str());
    }
    if (!request.body.is_null()) {
        const std::string body = request.body.dump();
        evhttp_add_header(headers, "Content-Type", "application/json");
        evbuffer_add(evhttp_request_get_output_buffer(message), body.data(), body.size());
    }

    if (evhttp_make_request(connection.get(), message, commandOf(request.method), request.path.c_str()) != 0) {
        return failure{result_code::peer_unreachable, address + ": cannot send the request", {}};
    }

    // The timeout of the connection restarts with each byte received, so a second timer limits the whole exchange.
    const auto exchangeTimer = loop.after(timeout * 2, [&state, message] {
        evhttp_cancel_request(message);
        state.wasConnected = true;
        state.timedOut = true;
        state.finish();
    });
    while (!state.isOver) {
        loop.run();
    }

    if (state.response) {
        return *state.response;
    }
    if (!state.wasConnected) {
        return failure{result_code::peer_unreachable, address + ": no connection", {}};
    }
    if (state.timedOut) {
        return failure{result_code::answer_timeout, address + ": timed out before the response was complete", {}};
    }
    return failure{result_code::connection_lost, address + ": connection closed before the response was complete", {}};
}

} // namespace parsleyglade
