#include "relay_fixture.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** A relay's session whose messages the test gives, with any time of sending. */
struct session_fixture
{
    session_fixture()
    {
        send(0us, 0);
        replies.clear();
    }

    /** Passes a message that was sent before now, on a clock with another origin. */
    void send(duration age, int orders, duration valid = 1s)
    {
        wire::relay_orders message;
        message.sentMicroseconds = (loop.now() - age - 1h).time_since_epoch().count();
        message.validMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(valid).count();
        for (int number = 0; number < orders; ++number) {
            wire::relay_order &order = message.orders.emplace_back();
            order.number = ++lastNumber;
            order.kind = wire::relay_order_kind::stop;
            order.executor = "executor";
        }
        session->handle(message, [this](const wire::peer_message &reply) { replies.push_back(reply.relayResults); });
    }

    void run(duration time)
    {
        runUntil(loop, time, [] { return false; });
    }

    event_loop loop;
    relay_settings settings;
    scripted_executors executors;
    std::shared_ptr<relay_work> work = std::make_shared<relay_work>();
    std::shared_ptr<relay_session> session = std::make_shared<relay_session>(loop, executors, settings, work, "leader");
    std::vector<wire::relay_results> replies;
    std::int64_t lastNumber = 0;
};

bool hasReason(const wire::relay_result &result, order_result expected, const std::string &text)
{
    return result.result == static_cast<int>(expected) && result.reason.find(text) != std::string::npos;
}

} // namespace

// Guards against a relay that was frozen, or whose connection was held up, and then sends old orders.
TEST_CASE("a relay rejects orders that reach it late", "[relay]")
{
    session_fixture fixture;
    fixture.send(fixture.settings.maximumDelay - 50ms, 1);
    CHECK(fixture.executors.stops.size() == 1);
    fixture.send(fixture.settings.maximumDelay + 10ms, 2);
    fixture.run(20ms);
    CHECK(fixture.executors.stops.size() == 1);
    REQUIRE(fixture.replies.size() == 1);
    REQUIRE(fixture.replies[0].results.size() == 2);
    CHECK(hasReason(fixture.replies[0].results[0], order_result::not_sent, "too late"));
    CHECK(fixture.work->rejectedOrders == 2);
    fixture.send(0us, 1);
    CHECK(fixture.executors.stops.size() == 2);
}

// Guards against orders that a client of executors queues beyond the leadership lease.
TEST_CASE("orders get the end of their validity on the relay's clock", "[relay]")
{
    session_fixture fixture;
    fixture.send(100ms, 1, 300ms);
    REQUIRE(fixture.executors.stops.size() == 1);
    const duration left = fixture.executors.stops[0].first.target.validUntil - fixture.loop.now();
    CHECK(left <= 200ms);
    CHECK(left > 100ms);
    fixture.send(200ms, 1, 100ms);
    CHECK(fixture.executors.stops.size() == 1);
}

// Guards against a relay that was suspended for longer than its clock offset is kept, and would then take old messages for prompt ones.
TEST_CASE("a relay closes a session after a gap, and carries out no order without an opening message", "[relay]")
{
    session_fixture fixture;
    fixture.settings.maximumSessionGap = 20ms;
    SECTION("gap")
    {
        fixture.run(50ms);
        fixture.send(0us, 1);
        fixture.send(0us, 0);
    }
    SECTION("no opening message")
    {
        fixture.session = std::make_shared<relay_session>(fixture.loop, fixture.executors, fixture.settings, fixture.work, "leader");
        fixture.send(0us, 1);
    }
    fixture.run(10ms);
    CHECK(fixture.executors.received() == 0);
    REQUIRE(!fixture.replies.empty());
    CHECK(fixture.replies[0].leaving); // the leader is to open another session
    REQUIRE(fixture.replies[0].results.size() == 1);
    CHECK(hasReason(fixture.replies[0].results[0], order_result::not_sent, "closed the session"));
}

// Guards against a relay whose memory and connections grow without bound while executors are silent.
TEST_CASE("a relay with too many orders in flight rejects further ones", "[relay]")
{
    session_fixture fixture;
    fixture.settings.maximumOrdersInFlight = 3;
    fixture.send(0us, 5);
    CHECK(fixture.executors.stops.size() == 3);
    fixture.run(20ms);
    REQUIRE(fixture.replies.size() == 1);
    REQUIRE(fixture.replies[0].results.size() == 2);
    CHECK(hasReason(fixture.replies[0].results[0], order_result::not_sent, "too many"));
    fixture.executors.stops[0].second({order_result::done, 1, {}});
    CHECK(fixture.work->ordersInFlight == 2);
    fixture.send(0us, 1);
    CHECK(fixture.executors.stops.size() == 4);
}

// Guards against one message for each result, and against results that exceed the maximum size of a message.
TEST_CASE("results of a short time share a message of bounded size", "[relay]")
{
    session_fixture fixture;
    fixture.settings.messageBytes = 1000;
    fixture.send(0us, 100);
    REQUIRE(fixture.executors.stops.size() == 100);
    for (int number = 0; number < 10; ++number) {
        fixture.executors.stops[static_cast<std::size_t>(number)].second({order_result::done, 1, {}});
    }
    CHECK(fixture.replies.empty());
    fixture.run(20ms);
    REQUIRE(fixture.replies.size() == 1);
    CHECK(fixture.replies[0].results.size() == 10);
    for (std::size_t number = 10; number < 100; ++number) {
        fixture.executors.stops[number].second({order_result::done, 1, {}});
    }
    fixture.run(20ms);
    CHECK(fixture.replies.size() > 4);
    CHECK(fixture.replies.size() < 10);
}

// Guards against a malformed order that ends the relay.
TEST_CASE("a relay rejects orders of an unknown kind or without their payload", "[relay]")
{
    session_fixture fixture;
    wire::relay_orders message;
    message.sentMicroseconds = (fixture.loop.now() - 1h).time_since_epoch().count();
    message.validMilliseconds = 1000;
    message.orders.emplace_back().kind = static_cast<wire::relay_order_kind::type>(77);
    message.orders.emplace_back().kind = wire::relay_order_kind::start;
    message.orders.emplace_back().kind = wire::relay_order_kind::start;
    message.orders.back().payload = -1;
    fixture.session->handle(message, [&](const wire::peer_message &reply) { fixture.replies.push_back(reply.relayResults); });
    fixture.run(20ms);
    CHECK(fixture.executors.received() == 0);
    REQUIRE(fixture.replies.size() == 1);
    REQUIRE(fixture.replies[0].results.size() == 3);
    for (const wire::relay_result &result : fixture.replies[0].results) {
        CHECK(result.result == static_cast<int>(order_result::invalid));
    }
}

// Guards against a callback into a session that the relay has dropped.
TEST_CASE("a response after the end of the session is ignored", "[relay]")
{
    session_fixture fixture;
    fixture.send(0us, 1);
    fixture.session.reset();
    fixture.executors.stops[0].second({order_result::done, 1, {}});
    fixture.run(20ms);
    CHECK(fixture.replies.empty());
    CHECK(fixture.work->ordersInFlight == 0);
}
