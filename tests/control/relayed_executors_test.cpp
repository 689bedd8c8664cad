#include "relay_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

// Guards against a relay that changes an order or a response on the way, and against one message for each order.
TEST_CASE("orders of a round reach the relay in one message, and responses come back complete", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));

    fixture.start("executor", "same");
    fixture.start("other", "same");
    fixture.poll();
    stop_order stop{fixture.target(), {"job", 1, 2, 3}, 4, true};
    std::optional<order_response> stopResponse;
    fixture.client->stop(stop, [&](const order_response &response) { stopResponse = response; });
    pace_order pace{fixture.target(), {"job", 1, 2, 3}, 4, 60};
    fixture.client->pace(pace, [](const order_response &) {});
    runUntil(fixture.loop, 1s, [&] { return relay.executors.received() == 5; });
    REQUIRE(relay.executors.received() == 5);
    CHECK(relay.orderMessages == 1);
    CHECK(fixture.direct.received() == 0);

    const start_order &start = relay.executors.starts[1].first;
    CHECK(start.target.executor == "other");
    CHECK(start.target.address == "127.0.0.1:1");
    CHECK(start.target.fence == 7);
    CHECK(start.payload == "same");
    CHECK(start.leaseEnd == 5000);
    CHECK(start.task == task_id{"job", 0, 0, 1});
    CHECK(relay.executors.stops[0].first.task == stop.task);
    CHECK(relay.executors.stops[0].first.run == 4);
    CHECK(relay.executors.stops[0].first.blocksLateStart);
    CHECK(relay.executors.paces[0].first.percent == 60);
    const poll_order &poll = relay.executors.polls[0].first;
    CHECK(poll.leaseEnd == 5000);
    CHECK(poll.wait == 800ms);

    relay.executors.starts[1].second({order_result::insufficient_capacity, 1234, {}});
    relay.executors.starts[0].second({order_result::done, 1233, {}});
    relay.executors.stops[0].second({order_result::other_boot, 0, {}});
    poll_response list;
    list.result = order_result::done;
    list.clockMilliseconds = 99;
    list.boot = 17;
    list.running.push_back({{"a", 1, 2, 3}, 4, "checkpoint", 50, 600});
    list.finished.push_back({8, {"b", 5, 6, 7}, 9, run_end::lapsed, "end"});
    relay.executors.polls[0].second(list);
    runUntil(fixture.loop, 1s, [&] { return !fixture.pollResponses.empty(); });
    REQUIRE(fixture.pollResponses.size() == 1);
    REQUIRE(fixture.responses[0]);
    REQUIRE(fixture.responses[1]);
    CHECK(fixture.responses[0]->result == order_result::done);
    CHECK(fixture.responses[0]->clockMilliseconds == 1233);
    CHECK(fixture.responses[1]->result == order_result::insufficient_capacity);
    REQUIRE(stopResponse);
    CHECK(stopResponse->result == order_result::other_boot);
    const poll_response &received = fixture.pollResponses[0];
    CHECK(received.result == order_result::done);
    CHECK(received.clockMilliseconds == 99);
    CHECK(received.boot == 17);
    REQUIRE(received.running.size() == 1);
    CHECK(received.running[0].task == task_id{"a", 1, 2, 3});
    CHECK(received.running[0].run == 4);
    CHECK(received.running[0].checkpoint == "checkpoint");
    CHECK(received.running[0].progress == 50);
    CHECK(received.running[0].measured == 600);
    REQUIRE(received.finished.size() == 1);
    CHECK(received.finished[0].number == 8);
    CHECK(received.finished[0].task == task_id{"b", 5, 6, 7});
    CHECK(received.finished[0].end == run_end::lapsed);
    CHECK(received.finished[0].checkpoint == "end");
}

// Guards against a leader that does not learn of its successor because the rejection went to a relay.
TEST_CASE("a rejection for the fencing token reaches the leader through a relay", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    fixture.start();
    fixture.poll();
    runUntil(fixture.loop, 1s, [&] { return relay.executors.received() == 2; });
    REQUIRE(relay.executors.received() == 2);
    relay.executors.starts[0].second({order_result::fenced, 0, {}});
    poll_response fenced;
    fenced.result = order_result::fenced;
    relay.executors.polls[0].second(fenced);
    runUntil(fixture.loop, 1s, [&] { return !fixture.pollResponses.empty(); });
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::fenced);
    REQUIRE(!fixture.pollResponses.empty());
    CHECK(fixture.pollResponses[0].result == order_result::fenced);
}

// Guards against orders for a small fleet, or for a data centre without relays, that wait for a relay.
TEST_CASE("orders go directly when the fleet is small or the data centre has no relay", "[relay]")
{
    relay_settings settings = shortRelayTimes();
    settings.minimumFleet = 10;
    relay_fixture fixture(settings);
    SECTION("small fleet")
    {
        fixture.client = std::make_unique<relayed_executors>(fixture.loop, fixture.direct, fixture.peers, fixture.settings, fixture.load);
        fixture.client->setFleetSize(9);
        fixture.addRelay();
        fixture.run(100ms);
        fixture.start();
        CHECK(fixture.direct.starts.size() == 1);
    }
    SECTION("another data centre")
    {
        fixture.addRelay();
        REQUIRE(fixture.awaitRelays(1));
        start_order order;
        order.target = fixture.target();
        order.target.dataCentre = "an-duong";
        fixture.client->start(order, [](const order_response &) {});
        CHECK(fixture.direct.starts.size() == 1);
    }
    CHECK(fixture.load.relays().directOrders == 1);
}

// Guards against results that are matched by position.
TEST_CASE("results may come in any order, repeated, or for unknown numbers", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    relay.intercept = [](const wire::peer_message &message, const peer_server::reply_function &reply) {
        wire::peer_message response;
        response.__isset.relayResults = true;
        for (auto order = message.relayOrders.orders.rbegin(); order != message.relayOrders.orders.rend(); ++order) {
            wire::relay_result result;
            result.number = order->number;
            result.result = static_cast<int>(order->index == 0 ? order_result::done : order_result::late);
            response.relayResults.results.push_back(result);
            response.relayResults.results.push_back(result);
            result.number += 1'000'000;
            response.relayResults.results.push_back(result);
        }
        reply(response);
    };
    fixture.start();
    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return fixture.responses[0] && fixture.responses[1]; });
    REQUIRE(fixture.responses[0]);
    REQUIRE(fixture.responses[1]);
    CHECK(fixture.responses[0]->result == order_result::done);
    CHECK(fixture.responses[1]->result == order_result::late);
    CHECK(fixture.load.relays().relayedResults == 2);
}

// Guards against a result code of a newer version that ends the leader, and against responses of the wrong type.
TEST_CASE("an unknown result code counts as unanswered", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    const int code = GENERATE(-1, 12, 1000);
    relay.intercept = [code](const wire::peer_message &message, const peer_server::reply_function &reply) {
        wire::peer_message response;
        response.__isset.relayResults = true;
        for (const wire::relay_order &order : message.relayOrders.orders) {
            wire::relay_result result;
            result.number = order.number;
            result.result = code;
            response.relayResults.results.push_back(result);
        }
        reply(response);
    };
    fixture.start();
    runUntil(fixture.loop, 1s, [&] { return fixture.responses[0].has_value(); });
    REQUIRE(fixture.responses[0]);
    CHECK(fixture.responses[0]->result == order_result::unanswered);
}

// Guards against a round whose orders exceed the maximum size of a message, which would be dropped as a whole.
TEST_CASE("a large round is split into several messages, and an order too large for any is not sent", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    SECTION("many orders")
    {
        constexpr std::size_t orders = 40;
        for (std::size_t number = 0; number < orders; ++number) {
            fixture.start("executor", std::string(200'000, static_cast<char>('a' + number % 26)));
        }
        runUntil(fixture.loop, 3s, [&] { return relay.executors.starts.size() == orders; });
        CHECK(relay.executors.starts.size() == orders);
        CHECK(relay.orderMessages >= 8);
        CHECK(relay.executors.starts[27].first.payload == std::string(200'000, 'b'));
    }
    SECTION("one order")
    {
        fixture.start("executor", std::string(maximumMessageBytes, 'a'));
        runUntil(fixture.loop, 1s, [&] { return fixture.responses[0].has_value(); });
        REQUIRE(fixture.responses[0]);
        CHECK(fixture.responses[0]->result == order_result::not_sent);
        fixture.start();
        runUntil(fixture.loop, 1s, [&] { return !relay.executors.starts.empty(); });
        CHECK(relay.executors.starts.size() == 1);
    }
}

// Guards against orders of a deposed leader, which must not be sent after its leadership lease.
TEST_CASE("an order whose leadership lease is nearly over is not sent to a relay", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    start_order order;
    order.target = fixture.target();
    order.target.validUntil = fixture.loop.now() + fixture.settings.maximumRoundTrip;
    std::optional<order_response> response;
    fixture.client->start(order, [&](const order_response &received) { response = received; });
    runUntil(fixture.loop, 1s, [&] { return response.has_value(); });
    REQUIRE(response);
    CHECK(response->result == order_result::not_sent);
    CHECK(relay.executors.starts.empty());
}

// Guards against callbacks into a leader that has ended.
TEST_CASE("no callback runs after the leader's client has been destroyed", "[relay]")
{
    relay_fixture fixture;
    relay_host &relay = fixture.addRelay();
    REQUIRE(fixture.awaitRelays(1));
    fixture.start();
    fixture.poll();
    runUntil(fixture.loop, 1s, [&] { return relay.executors.received() == 2; });
    fixture.start();
    fixture.client.reset();
    relay.executors.starts[0].second({order_result::done, 5, {}});
    fixture.run(100ms);
    CHECK_FALSE(fixture.responses[0]);
    CHECK_FALSE(fixture.responses[1]);
    CHECK(fixture.pollResponses.empty());
}

// Guards against a choice that depends on which entry host happens to report first: relays would lose their connections to executors at each change of
// leader.
TEST_CASE("relays are chosen by their addresses among all known candidates", "[relay]")
{
    relay_fixture fixture;
    std::vector<std::string> addresses;
    for (int number = 0; number < 4; ++number) {
        fixture.relays.push_back(std::make_unique<relay_host>(fixture.loop));
        addresses.push_back(fixture.relays.back()->address);
    }
    std::sort(addresses.begin(), addresses.end());
    for (auto address = addresses.rbegin(); address != addresses.rend(); ++address) {
        fixture.client->recordCandidate(*address, relay_fixture::dataCentre);
    }
    REQUIRE(fixture.awaitRelays(2));
    constexpr int executors = 50;
    for (int number = 0; number < executors; ++number) {
        fixture.start("executor-" + std::to_string(number));
    }
    fixture.run(100ms);
    for (const auto &relay : fixture.relays) {
        const bool isChosen = relay->address == addresses[0] || relay->address == addresses[1];
        CHECK((relay->executors.starts.size() > executors / 5) == isChosen);
    }
}
