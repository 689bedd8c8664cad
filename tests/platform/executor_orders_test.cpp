#include "platform_executors.h"
#include "runtime/event_loop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <event2/buffer.h>
#include <event2/http.h>
#include <memory>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

struct server_deleter
{
    void operator()(evhttp *server) const
    {
        evhttp_free(server);
    }
};

/** An executor that holds each request until the test releases it. */
class holding_executor
{
public:
    explicit holding_executor(event_loop &loop)
        : m_server(evhttp_new(loop.base()))
    {
        evhttp_bound_socket *socket = evhttp_bind_socket_with_handle(m_server.get(), "127.0.0.1", 0);
        REQUIRE(socket != nullptr);
        sockaddr_in address{};
        socklen_t size = sizeof address;
        ::getsockname(evhttp_bound_socket_get_fd(socket), reinterpret_cast<sockaddr *>(&address), &size);
        m_address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        evhttp_set_gencb(
            m_server.get(),
            [](evhttp_request *request, void *argument) {
                auto *self = static_cast<holding_executor *>(argument);
                ++self->m_received;
                self->m_held.push_back(request);
            },
            this);
    }

    const std::string &address() const
    {
        return m_address;
    }

    int received() const
    {
        return m_received;
    }

    void release()
    {
        for (evhttp_request *request : std::exchange(m_held, {})) {
            evhttp_send_reply(request, 200, "OK", nullptr);
        }
    }

private:
    std::unique_ptr<evhttp, server_deleter> m_server;
    std::string m_address;
    int m_received = 0;
    std::vector<evhttp_request *> m_held;
};

} // namespace

// Guards against orders that a deposed leader sends after a pause or a slow executor: they waited in the queue of the executor while the leadership
// lease under which they were given expired.
TEST_CASE("an order that has waited beyond the leadership lease is not sent")
{
    event_loop loop;
    holding_executor server(loop);
    platform_executors executors(loop, 16);
    std::vector<order_result> results;
    for (int number = 0; number < 3; ++number) {
        stop_order order;
        order.target.executor = "executor";
        order.target.address = server.address();
        order.target.validUntil = loop.now() + 100ms;
        order.task = {"job", 0, 0, number};
        order.run = 1;
        executors.stop(order, [&](const order_response &response) {
            results.push_back(response.result);
            if (results.size() == 3) {
                loop.stop();
            }
        });
    }
    const auto release = loop.after(200ms, [&server] { server.release(); });
    const auto timeout = loop.after(5s, [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(results.size() == 3);
    CHECK(server.received() == 2);
    CHECK(std::count(results.begin(), results.end(), order_result::not_sent) == 1);
}

// Guards against a poll of a deposed leader that extends a lease, which its successor does not count on.
TEST_CASE("a poll is not sent after the leadership lease")
{
    event_loop loop;
    holding_executor server(loop);
    platform_executors executors(loop, 16);
    poll_order order;
    order.target.executor = "executor";
    order.target.address = server.address();
    order.target.validUntil = loop.now() - 1us;
    order.leaseEnd = 1000;
    std::optional<order_result> result;
    executors.poll(order, [&](const poll_response &response) {
        result = response.result;
        loop.stop();
    });
    CHECK_FALSE(result); // never before the call has returned
    const auto timeout = loop.after(5s, [&loop] { loop.stop(); });
    loop.run();
    REQUIRE(result);
    CHECK(*result == order_result::not_sent);
    CHECK(server.received() == 0);
}

// Guards against a new boot that hears of an ended run only when the orders to its predecessor have timed out (review case 12): the stop waited in the queue of
// the executor behind orders without an answer.
TEST_CASE("a stop that blocks a late start is sent although orders to the executor have no answer, and gives up soon")
{
    event_loop loop;
    holding_executor server(loop);
    platform_executors executors(loop, 16);
    int done = 0;
    for (int number = 0; number < 4; ++number) {
        stop_order order;
        order.target.executor = "executor";
        order.target.address = server.address();
        order.task = {"job", 0, 0, number};
        order.run = 1;
        order.blocksLateStart = number >= 2;
        executors.stop(order, [&](const order_response &response) {
            CHECK(response.result == order_result::unanswered);
            if (++done == 2) {
                loop.stop();
            }
        });
    }
    const time_point sentAt = loop.now();
    const auto timeout = loop.after(5s, [&loop] { loop.stop(); });
    loop.run();
    CHECK(server.received() == 4);
    CHECK(loop.now() - sentAt < 900ms); // the other orders time out after a second
}
