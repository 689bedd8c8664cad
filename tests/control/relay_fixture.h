#pragma once

#include "control/executor_relay.h"
#include "control/relayed_executors.h"
#include "loop_fixture.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <vector>

namespace parsleyglade {

/** Executors whose responses the test gives. */
class scripted_executors final : public executor_client
{
public:
    void start(const start_order &order, std::function<void(order_response)> done) override
    {
        starts.push_back({order, std::move(done)});
    }

    void stop(const stop_order &order, std::function<void(order_response)> done) override
    {
        stops.push_back({order, std::move(done)});
    }

    void pace(const pace_order &order, std::function<void(order_response)> done) override
    {
        paces.push_back({order, std::move(done)});
    }

    void poll(const poll_order &order, std::function<void(poll_response)> done) override
    {
        polls.push_back({order, std::move(done)});
    }

    std::size_t received() const
    {
        return starts.size() + stops.size() + paces.size() + polls.size();
    }

    std::vector<std::pair<start_order, std::function<void(order_response)>>> starts;
    std::vector<std::pair<stop_order, std::function<void(order_response)>>> stops;
    std::vector<std::pair<pace_order, std::function<void(order_response)>>> paces;
    std::vector<std::pair<poll_order, std::function<void(poll_response)>>> polls;
};

/** Times that are short enough for tests and keep the proportions of the real ones. */
inline relay_settings shortRelayTimes()
{
    relay_settings settings;
    settings.minimumFleet = 1;
    settings.heartbeatInterval = std::chrono::milliseconds{20};
    settings.silenceTimeout = std::chrono::milliseconds{150};
    settings.reopenDelay = std::chrono::milliseconds{100};
    settings.openingTimeout = std::chrono::milliseconds{300};
    settings.timeoutCheckInterval = std::chrono::milliseconds{10};
    settings.orderTimeout = std::chrono::milliseconds{1000};
    settings.candidateTimeout = std::chrono::hours{1};
    return settings;
}

inline peer_settings relayPeerSettings(const std::string &name)
{
    peer_settings settings;
    settings.entryHost = name;
    settings.incarnation = incarnation_id{static_cast<std::int64_t>(name.size()) + 1};
    settings.sharedKey = "key";
    settings.reconnectDelay = std::chrono::milliseconds{10};
    return settings;
}

/** An entry host that is a relay. */
struct relay_host
{
    explicit relay_host(event_loop &eventLoop)
        : loop(eventLoop)
        , address("127.0.0.1:" + std::to_string(freePort()))
        , peers(relayPeerSettings("relay"))
        , relay(loop, executors, settings)
    {
        listen();
    }

    void listen()
    {
        server = std::make_unique<peer_server>(loop, peers, address,
                                               [this](const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply) {
                                                   orderMessages += message.relayOrders.orders.empty() ? 0 : 1;
                                                   if (intercept) {
                                                       intercept(message, reply);
                                                   } else {
                                                       relay.handlePeer(peer, message, reply);
                                                   }
                                               });
        server->listen().value();
    }

    event_loop &loop;
    std::string address;
    peer_settings peers;
    relay_settings settings = shortRelayTimes();
    scripted_executors executors;
    executor_relay relay;
    int orderMessages = 0;
    std::function<void(const wire::peer_message &, const peer_server::reply_function &)> intercept; /**< Handles messages in place of the relay. */
    std::unique_ptr<peer_server> server;
};

/** The leader's side, with a direct client of its own. */
struct relay_fixture
{
    static constexpr auto dataCentre = "le-chan";

    explicit relay_fixture(relay_settings relaySettings = shortRelayTimes())
        : settings(relaySettings)
        , client(std::make_unique<relayed_executors>(loop, direct, peers, settings, load))
    {
        client->setFleetSize(settings.minimumFleet);
    }

    relay_host &addRelay()
    {
        relays.push_back(std::make_unique<relay_host>(loop));
        client->recordCandidate(relays.back()->address, dataCentre);
        return *relays.back();
    }

    void run(duration time)
    {
        runUntil(loop, time, [] { return false; });
    }

    bool awaitRelays(std::size_t count)
    {
        runUntil(loop, std::chrono::seconds{3}, [&] { return load.relays().relays == count; });
        return load.relays().relays == count;
    }

    order_target target(const std::string &executor = "executor") const
    {
        return {executor, "127.0.0.1:1", 7, loop.now() + std::chrono::seconds{4}, dataCentre};
    }

    /** Gives a start order and records its response. */
    void start(const std::string &executor = "executor", const std::string &payload = "payload")
    {
        start_order order;
        order.target = target(executor);
        order.task = {"job", 0, 0, static_cast<int>(responses.size())};
        order.run = 1;
        order.payload = payload;
        order.leaseEnd = 5000;
        const std::size_t index = responses.size();
        responses.emplace_back();
        client->start(order, [this, index](const order_response &response) {
            REQUIRE_FALSE(responses[index]); // a callback runs once
            responses[index] = response;
        });
    }

    void poll(const std::string &executor = "executor")
    {
        poll_order order;
        order.target = target(executor);
        order.leaseEnd = 5000;
        order.wait = std::chrono::milliseconds{800};
        client->poll(order, [this](const poll_response &response) { pollResponses.push_back(response); });
    }

    event_loop loop;
    peer_settings peers = relayPeerSettings("leader");
    relay_settings settings;
    leader_load load;
    scripted_executors direct;
    std::vector<std::unique_ptr<relay_host>> relays;
    std::vector<std::optional<order_response>> responses;
    std::vector<poll_response> pollResponses;
    std::unique_ptr<relayed_executors> client;
};

} // namespace parsleyglade
