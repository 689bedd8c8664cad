#include "relay_fixture.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** Replies to heartbeats alone. */
void replyToHeartbeat(const wire::peer_message &message, const peer_server::reply_function &reply)
{
    if (message.relayOrders.orders.empty()) {
        wire::peer_message response;
        response.__isset.relayResults = true;
        reply(response);
    }
}

} // namespace

// Guards against a relay that is used before its clock offset is known, and against waiting for a relay that never replies.
TEST_CASE("a relay that has not replied to the opening message gets no orders and is replaced", "[relay]")
{
    relay_fixture fixture;
    relay_settings one = shortRelayTimes();
    one.relaysPerDataCentre = 1;
    fixture.settings = one;
    relay_host &mute = fixture.addRelay();
    mute.intercept = [](const wire::peer_message &, const peer_server::reply_function &) {
    };
    fixture.run(50ms);
    fixture.start();
    CHECK(fixture.direct.starts.size() == 1);
    relay_host &other = fixture.addRelay();
    CHECK(fixture.awaitRelays(1));
    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return !other.executors.starts.empty(); });
    CHECK(other.executors.starts.size() == 1);
    CHECK(mute.orderMessages == 0);
}

// Guards against executors that lose their leases because the relay with their polls has died, and against later orders that follow it.
TEST_CASE("a relay that is killed completes its orders as unanswered at once, and another one takes its executors", "[relay]")
{
    relay_fixture fixture;
    fixture.addRelay();
    fixture.addRelay();
    REQUIRE(fixture.awaitRelays(2));
    fixture.start();
    fixture.poll();
    const auto received = [&](std::size_t index) {
        return fixture.relays[index]->executors.received();
    };
    runUntil(fixture.loop, 1s, [&] { return received(0) + received(1) == 2; });
    const std::size_t used = received(0) > 0 ? 0 : 1;
    REQUIRE(received(used) == 2); // both orders of an executor take the same way

    const time_point killedAt = fixture.loop.now();
    fixture.relays[used]->server.reset();
    runUntil(fixture.loop, 1s, [&] { return fixture.responses[0].has_value() && !fixture.pollResponses.empty(); });
    CHECK(fixture.loop.now() - killedAt < 100ms);
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::unanswered);
    CHECK(fixture.responses[0]->reason.find(fixture.relays[used]->address) != std::string::npos);
    REQUIRE(fixture.pollResponses.size() == 1);
    CHECK(fixture.pollResponses[0].result == order_result::unanswered);

    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return received(1 - used) > 0; });
    CHECK(received(1 - used) == 1);
    CHECK(fixture.direct.received() == 0);

    // The lost relay comes back at its address and is used again.
    fixture.relays[used]->listen();
    CHECK(fixture.awaitRelays(2));
    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return received(used) == 3; });
    CHECK(received(used) == 3);
}

// Guards against orders in the connection of a lost relay that never complete, and against orders that wait although there is a direct way.
TEST_CASE("without another relay, orders go directly after the loss of one", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    relay.server.reset();
    runUntil(fixture.loop, 1s, [&] { return fixture.load.relays().relays == 0; });
    fixture.start();
    CHECK(fixture.direct.starts.size() == 1);
}

// Guards against leases that expire because a frozen relay holds the polls of its executors until their timeout.
TEST_CASE("a silent relay is lost after the silence timeout", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    relay.intercept = [](const wire::peer_message &, const peer_server::reply_function &) {
    };
    const time_point silentAt = fixture.loop.now();
    fixture.poll();
    runUntil(fixture.loop, 2s, [&] { return !fixture.pollResponses.empty(); });
    REQUIRE(fixture.pollResponses.size() == 1);
    CHECK(fixture.pollResponses[0].result == order_result::unanswered);
    CHECK(fixture.loop.now() - silentAt < fixture.settings.silenceTimeout + 4 * fixture.settings.heartbeatInterval);
    fixture.start();
    CHECK(fixture.direct.starts.size() == 1);
}

// Guards against an overloaded leader that takes its relays for silent because its own event loop is late, and then sends all orders itself.
TEST_CASE("a leader whose event loop is late keeps its relays", "[relay]")
{
    relay_fixture fixture;
    fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    const auto load = fixture.loop.every(1ms, [] { std::this_thread::sleep_for(70ms); });
    fixture.run(1500ms);
    CHECK(fixture.load.relays().relays == 1);
    CHECK(fixture.load.relays().lostRelays == 0);
}

// Guards against a relay that replies to heartbeats but loses orders: a poll must end early enough for another one within the lease of 3 s.
TEST_CASE("an order without a result completes as unanswered after its timeout", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    relay.intercept = replyToHeartbeat;
    const time_point sentAt = fixture.loop.now();
    fixture.start();
    fixture.poll();
    runUntil(fixture.loop, 3s, [&] { return fixture.responses[0].has_value(); });
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::unanswered);
    CHECK(fixture.loop.now() - sentAt < 1200ms);
    runUntil(fixture.loop, 3s, [&] { return !fixture.pollResponses.empty(); });
    CHECK(fixture.loop.now() - sentAt < 1700ms);
    REQUIRE(fixture.pollResponses.size() == 1);
    CHECK(fixture.pollResponses[0].result == order_result::unanswered);
}

// Guards against executors that are given up because the relay, and not the leader, is cut off from them, and against the loss of a relay for a few
// executors that are polled again and again.
TEST_CASE("a relay whose executors do not respond is replaced", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    const std::size_t polls = fixture.settings.maximumSilentExecutors;
    const std::size_t executors = GENERATE(false, true) ? polls : polls - 1;
    const bool hasContact = GENERATE(false, true);
    fixture.start("executor-in-flight");
    for (std::size_t number = 0; number < polls; ++number) {
        fixture.poll("executor-" + std::to_string(number % executors));
    }
    runUntil(fixture.loop, 1s, [&] { return relay.executors.polls.size() == polls; });
    REQUIRE(relay.executors.polls.size() == polls);
    for (std::size_t number = 0; number < polls; ++number) {
        poll_response response;
        response.result = hasContact && number == polls / 2 ? order_result::done : order_result::unreachable;
        relay.executors.polls[number].second(response);
    }
    runUntil(fixture.loop, 1s, [&] { return fixture.pollResponses.size() == polls; });
    REQUIRE(fixture.pollResponses.size() == polls);
    fixture.poll();
    const bool isCutOff = !hasContact && executors == polls;
    CHECK(fixture.direct.polls.size() == (isCutOff ? 1 : 0));

    // An order in flight still gets its result.
    relay.executors.starts[0].second({order_result::done, 5, {}});
    runUntil(fixture.loop, 1s, [&] { return fixture.responses[0].has_value(); });
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::done);
}

// Guards against the loss of orders when an entry host is restarted in order.
TEST_CASE("a relay that shuts down completes its orders and gets no further ones", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return relay.executors.starts.size() == 1; });
    REQUIRE(relay.executors.starts.size() == 1);
    relay.relay.leave();
    runUntil(fixture.loop, 1s, [&] { return fixture.load.relays().relays == 0; });
    CHECK(fixture.load.relays().relays == 0);
    fixture.start();
    CHECK(fixture.direct.starts.size() == 1);
    relay.executors.starts[0].second({order_result::done, 5, {}});
    runUntil(fixture.loop, 1s, [&] { return fixture.responses[0].has_value(); });
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::done);
}
