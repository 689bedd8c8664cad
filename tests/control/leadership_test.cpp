#include "control_fakes.h"
#include "loop_fixture.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<control_daemon> makeNode(event_loop &loop, control_platform &platform, int number, duration journalSilence = control_settings{}.journalSilence,
                                         double processorShare = 1.0)
{
    control_settings settings = controlSettings(number, freePort());
    settings.journalSilence = journalSilence;
    settings.processorShare = processorShare;
    auto node = std::make_unique<control_daemon>(loop, platform.clients(), settings, peerSettings(settings));
    REQUIRE(node->start());
    return node;
}

} // namespace

TEST_CASE("one of several entry hosts leads, and another takes over with all jobs when it ends", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    std::vector<std::unique_ptr<control_daemon>> nodes;
    for (int number = 0; number < 3; ++number) {
        nodes.push_back(makeNode(loop, platform, number));
    }
    const auto leaders = [&] {
        return std::count_if(nodes.begin(), nodes.end(), [](const auto &node) { return node->leadership().leader() != nullptr; });
    };
    runUntil(loop, 5s, [&] { return leaders() == 1 && std::all_of(nodes.begin(), nodes.end(), [](const auto &node) { return node->isReady(); }); });
    REQUIRE(leaders() == 1);

    // A submission through each entry host, whether it leads or not.
    int accepted = 0;
    for (std::size_t number = 0; number < nodes.size(); ++number) {
        nodes[number]->gateway().send(submission("job" + std::to_string(number)), loop.now() + 3s, [&](const work_gateway::result &result) {
            accepted += result.missing == work_gateway::gap::none && result.reply.verdict == wire::work_verdict::done ? 1 : 0;
        });
    }
    runUntil(loop, 4s, [&] { return accepted == 3; });
    REQUIRE(accepted == 3);

    std::erase_if(nodes, [](const auto &node) { return node->leadership().leader() != nullptr; });
    runUntil(loop, 8s, [&] { return leaders() == 1; });
    REQUIRE(leaders() == 1);

    int known = 0;
    for (int number = 0; number < 3; ++number) {
        wire::work_call query;
        query.kind = wire::work_call_kind::query;
        query.queue = "queue";
        query.job = "job" + std::to_string(number);
        nodes.front()->gateway().send(query, loop.now() + 3s, [&](const work_gateway::result &result) {
            known += result.missing == work_gateway::gap::none && result.reply.verdict == wire::work_verdict::done ? 1 : 0;
        });
    }
    runUntil(loop, 4s, [&] { return known == 3; });
    CHECK(known == 3);
}

TEST_CASE("a leader that resigns is followed at once", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    const auto first = makeNode(loop, platform, 0);
    runUntil(loop, 3s, [&] { return first->isReady() && first->leadership().leader() != nullptr; });
    const auto second = makeNode(loop, platform, 1, 1h);
    runUntil(loop, 5s, [&] { return second->isReady(); });
    REQUIRE(second->leadership().leader() == nullptr);

    first->retire();
    runUntil(loop, 10s, [&] { return second->leadership().leader() != nullptr; });
    CHECK(second->leadership().leader() != nullptr);
}

// Guards against a fleet that is led by an entry host whose share of a core is too small for it, while others have enough.
TEST_CASE("an entry host with little processor share leaves the lead to one with more", "[control]")
{
    constexpr double little = 0.1;
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    const auto weak = makeNode(loop, platform, 0, control_settings{}.journalSilence, little);
    const auto isLed = [&] {
        return weak->isReady() && weak->leadership().leader() != nullptr;
    };

    SECTION("at the first claim")
    {
        const auto strong = makeNode(loop, platform, 1);
        runUntil(loop, 5s, [&] { return strong->leadership().leader() != nullptr || weak->leadership().leader() != nullptr; });
        CHECK(strong->leadership().leader() != nullptr);
        CHECK(weak->leadership().leader() == nullptr);
    }
    SECTION("when one with more comes later")
    {
        runUntil(loop, 5s, isLed);
        REQUIRE(isLed());
        const auto strong = makeNode(loop, platform, 1);
        runUntil(loop, 8s, [&] { return strong->leadership().leader() != nullptr; });
        CHECK(strong->leadership().leader() != nullptr);
        CHECK(weak->leadership().leader() == nullptr);
    }
    SECTION("but leads where there is no other, and keeps the lead beside one as weak")
    {
        runUntil(loop, 5s, isLed);
        REQUIRE(isLed());
        const auto other = makeNode(loop, platform, 1, control_settings{}.journalSilence, little);
        runUntil(loop, 4s, [] { return false; });
        CHECK(weak->leadership().leader() != nullptr);
    }
}

TEST_CASE("a submission that waits for the leader's reply at the deadline is unknown, not refused", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    const control_settings settings = controlSettings(0, freePort());
    const peer_settings peers = peerSettings(settings);

    // A leader that takes calls and never replies.
    const control_settings mute = controlSettings(1, freePort());
    const peer_settings mutePeers = peerSettings(mute);
    int calls = 0;
    peer_server server(loop, mutePeers, mute.peerAddress,
                       [&](const peer_identity &, wire::peer_message &message, const peer_server::reply_function &) { calls += message.__isset.work ? 1 : 0; });
    REQUIRE(server.listen());
    wire::batch_record announcement;
    announcement.peerAddress = mute.peerAddress;
    platform.store.put(store_topic::leader, {{"leader", encode(announcement)}});
    wire::batch_record header;
    platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});

    leadership_task leadership(loop, platform.clients(), settings, peers, [](const std::string &) {});
    work_gateway gateway(loop, leadership, settings);
    leadership.start();
    runUntil(loop, 3s, [&] { return leadership.isConnected(); });
    REQUIRE(leadership.isConnected());

    std::optional<work_gateway::gap> missing;
    gateway.send(submission("job"), loop.now() + 200ms, [&](const work_gateway::result &result) { missing = result.missing; });
    runUntil(loop, 2s, [&] { return missing.has_value(); });
    CHECK(calls == 1);
    CHECK(missing == work_gateway::gap::unknown);
}

TEST_CASE("a submission that no leader could be sent is certainly not accepted", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.isDown = true;
    const control_settings settings = controlSettings(0, freePort());
    const peer_settings peers = peerSettings(settings);
    leadership_task leadership(loop, platform.clients(), settings, peers, [](const std::string &) {});
    work_gateway gateway(loop, leadership, settings);
    leadership.start();

    std::optional<work_gateway::gap> missing;
    gateway.send(submission("job"), loop.now() + 200ms, [&](const work_gateway::result &result) { missing = result.missing; });
    runUntil(loop, 2s, [&] { return missing.has_value(); });
    CHECK(missing == work_gateway::gap::not_reached);
}

TEST_CASE("an entry host that the leader can't be reached from leaves a journal that is written to alone", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    wire::batch_record header;
    header.writer = 99;
    platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    wire::batch_record announcement;
    announcement.peerAddress = "127.0.0.1:" + std::to_string(freePort());
    platform.store.put(store_topic::leader, {{"leader", encode(announcement)}});
    const auto alive = loop.every(300ms, [&] { platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}}); });

    const auto node = makeNode(loop, platform, 0);
    runUntil(loop, 4s, [&] { return node->leadership().leader() != nullptr; });
    CHECK(node->leadership().leader() == nullptr);
}
