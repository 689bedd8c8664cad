#pragma once

#include "operator_client/admin_response.h"
#include "runtime/event_loop.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

/** Admin interface on loopback that sends preset responses and records the requests. Requests without a preset response get status 404. */
class admin_stand_in
{
public:
    struct recorded_request
    {
        std::string requestLine; /**< Method and path with query, separated by a space. */
        std::string authorization;
        nlohmann::json body;
    };

    explicit admin_stand_in(parsleyglade::event_loop &loop)
        : m_server(evhttp_new(loop.base()))
    {
        m_socket = evhttp_bind_socket_with_handle(m_server, "127.0.0.1", 0);
        evhttp_set_gencb(m_server, handle, this);
    }

    admin_stand_in(const admin_stand_in &) = delete;
    admin_stand_in &operator=(const admin_stand_in &) = delete;

    ~admin_stand_in()
    {
        evhttp_free(m_server);
    }

    std::string address() const
    {
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(evhttp_bound_socket_get_fd(m_socket), reinterpret_cast<sockaddr *>(&bound), &size);
        return "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
    }

    /** Sets the response to a request, given as recorded_request::requestLine. */
    void setResponse(const std::string &requestLine, int status, const nlohmann::json &body)
    {
        m_responses[requestLine] = [status, text = body.dump()] {
            return parsleyglade::admin_response{status, text};
        };
    }

    /** Sets a function that makes the response to a request, given as recorded_request::requestLine. */
    void setResponder(const std::string &requestLine, std::function<parsleyglade::admin_response()> makeResponse)
    {
        m_responses[requestLine] = std::move(makeResponse);
    }

    const std::vector<recorded_request> &requests() const
    {
        return m_requests;
    }

private:
    static void handle(evhttp_request *request, void *argument)
    {
        auto *self = static_cast<admin_stand_in *>(argument);
        const evhttp_cmd_type command = evhttp_request_get_command(request);
        const std::string method = command == EVHTTP_REQ_POST ? "POST" : command == EVHTTP_REQ_DELETE ? "DELETE" : "GET";
        const char *authorization = evhttp_find_header(evhttp_request_get_input_headers(request), "Authorization");
        evbuffer *input = evhttp_request_get_input_buffer(request);
        std::string body(evbuffer_get_length(input), '\0');
        evbuffer_copyout(input, body.data(), body.size());
        self->m_requests.push_back(
            {method + " " + evhttp_request_get_uri(request), authorization != nullptr ? authorization : "", nlohmann::json::parse(body, nullptr, false)});

        const auto found = self->m_responses.find(self->m_requests.back().requestLine);
        const auto response = found != self->m_responses.end() ? found->second() : parsleyglade::admin_response{404, R"({"code":605,"reason":"not set"})"};
        evbuffer *output = evbuffer_new();
        evbuffer_add(output, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, output);
        evbuffer_free(output);
    }

    evhttp *m_server;
    evhttp_bound_socket *m_socket;
    std::map<std::string, std::function<parsleyglade::admin_response()>> m_responses;
    std::vector<recorded_request> m_requests;
};
