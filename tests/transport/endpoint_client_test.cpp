#include "transport/transport.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** Endpoint that responds to each request with raw bytes, so that a test can violate the protocol in any way. */
class scripted_endpoint
{
public:
    explicit scripted_endpoint(event_loop &loop)
        : m_loop(loop)
        , m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in bound{};
        bound.sin_family = AF_INET;
        bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        ::bind(m_listener, reinterpret_cast<sockaddr *>(&bound), sizeof(bound));
        socklen_t size = sizeof(bound);
        ::getsockname(m_listener, reinterpret_cast<sockaddr *>(&bound), &size);
        address = "127.0.0.1:" + std::to_string(ntohs(bound.sin_port));
        ::listen(m_listener, 16);
        m_poll = loop.every(1ms, [this] { poll(); });
    }

    scripted_endpoint(const scripted_endpoint &) = delete;
    scripted_endpoint &operator=(const scripted_endpoint &) = delete;

    ~scripted_endpoint()
    {
        for (const int connection : m_connections) {
            ::close(connection);
        }
        ::close(m_listener);
    }

    std::string address;
    std::string response; /**< Sent for each request; nothing is sent when it is empty. */
    bool closeAfterResponse = false;
    int accepted = 0;
    int requests = 0;

private:
    void poll()
    {
        for (int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK); connection >= 0;
             connection = ::accept4(m_listener, nullptr, nullptr, SOCK_NONBLOCK)) {
            m_connections.push_back(connection);
            ++accepted;
        }
        for (int &connection : m_connections) {
            char buffer[8192];
            if (connection < 0 || ::recv(connection, buffer, sizeof(buffer), 0) <= 0) {
                continue;
            }
            ++requests;
            ::send(connection, response.data(), response.size(), MSG_NOSIGNAL);
            if (closeAfterResponse) {
                ::close(connection);
                connection = -1;
            }
        }
    }

    event_loop &m_loop;
    int m_listener;
    std::vector<int> m_connections;
    timer_subscription m_poll;
};

call_result callOnce(event_loop &loop, endpoint_client &client, const std::string &address, duration timeout = 100ms)
{
    call_result received;
    client.call(address, {"POST", "/job", {}, {{"Content-Type", "text/plain"}}, "body"}, "id-1", timeout, [&](call_result result) {
        received = std::move(result);
        loop.stop();
    });
    loop.run();
    return received;
}

struct response_case
{
    std::string label;
    std::string response;
    bool closes;
    call_progress progress;
    result_code code;
    bool reused;
};

} // namespace

// Guards against a truncated, premature, surplus or foreign response that is reported as complete, and against reuse of its connection.
TEST_CASE("a response counts as complete only if its framing and Request-Id show it")
{
    const auto expected = GENERATE(values<response_case>({
        {"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: id-1\r\n\r\nok", false, call_progress::responded, result_code::ok, true},
        {"complete with an error status", "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno", false, call_progress::responded, result_code::ok, true},
        {"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", false, call_progress::responded, result_code::ok, true},
        {"short body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true, call_progress::outcome_unknown, result_code::connection_lost, false},
        {"truncated chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok", true, call_progress::outcome_unknown, result_code::connection_lost,
         false},
        {"no length", "HTTP/1.1 200 OK\r\n\r\nok", true, call_progress::outcome_unknown, result_code::answer_cut, false},
        {"response to another request", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nRequest-Id: id-0\r\n\r\nok", false, call_progress::outcome_unknown,
         result_code::answer_cut, false},
        {"surplus response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nko", false, call_progress::responded,
         result_code::ok, false},
        {"closes without a response", "", true, call_progress::outcome_unknown, result_code::connection_lost, false},
        {"sends nothing", "", false, call_progress::outcome_unknown, result_code::answer_timeout, false},
        {"partial response, then nothing", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false, call_progress::outcome_unknown, result_code::answer_timeout,
         false},
        {"503 with Job-Not-Started", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nJob-Not-Started: true\r\n\r\n", false, call_progress::refused, result_code::ok,
         true},
        {"503 without Job-Not-Started", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, call_progress::responded, result_code::ok, true},
        {"not HTTP", "\x15\x03\x03 nonsense\r\n\r\n", false, call_progress::outcome_unknown, result_code::connection_lost, false},
    }));
    CAPTURE(expected.label);

    event_loop loop;
    scripted_endpoint endpoint(loop);
    endpoint.response = expected.response;
    endpoint.closeAfterResponse = expected.closes;
    endpoint_client client(loop, {});

    const call_result result = callOnce(loop, client, endpoint.address);
    CHECK(result.progress == expected.progress);
    CHECK(result.code == expected.code);
    CHECK(endpoint.requests == 1);

    endpoint.response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
    endpoint.closeAfterResponse = false;
    const call_result next = callOnce(loop, client, endpoint.address);
    CHECK(next.response.body == "next");
    CHECK(endpoint.accepted == (expected.reused ? 1 : 2));
}

// Guards against a call that is reported as "outcome unknown" although nothing was sent.
TEST_CASE("a call whose connection is refused is reported as not sent")
{
    event_loop loop;
    std::string address;
    {
        scripted_endpoint closed(loop);
        address = closed.address;
    }
    endpoint_client client(loop, {});
    CHECK(callOnce(loop, client, address).progress == call_progress::not_sent);
    CHECK(callOnce(loop, client, "no address").progress == call_progress::not_sent);
}

// Guards against more connections to an endpoint than the settings allow.
TEST_CASE("connections to one endpoint are bounded")
{
    event_loop loop;
    scripted_endpoint endpoint(loop);
    endpoint_client_settings settings;
    settings.maximumConnectionsPerEndpoint = 2;
    endpoint_client client(loop, settings);

    std::vector<call_result> results;
    for (int index = 0; index < 3; ++index) {
        client.call(endpoint.address, {"POST", "/job", {}, {}, "x"}, "id", 50ms, [&](call_result result) {
            results.push_back(std::move(result));
            if (results.size() == 3) {
                loop.stop();
            }
        });
    }
    loop.run();
    CHECK(results.front().progress == call_progress::not_sent);
    CHECK(results.front().code == result_code::too_many_connections);
    CHECK(endpoint.requests == 2);
    CHECK(client.connectionCount(endpoint.address) == 0);
}

// Guards against connections that are leaked when a process exits during a call, which LeakSanitizer reported after a graceful stop.
TEST_CASE("a call under way when the loop ends is freed with its callback")
{
    const auto token = std::make_shared<int>();
    {
        event_loop loop;
        scripted_endpoint endpoint(loop);
        endpoint_client client(loop, {});
        client.call(endpoint.address, {}, "1", 5s, [token](const call_result &) {});
        const auto end = loop.after(20ms, [&] { loop.stop(); });
        loop.run();
    }
    CHECK(token.use_count() == 1);
}
