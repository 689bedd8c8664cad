#include "control_fakes.h"
#include "loop_fixture.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<control_daemon> makeEntryHost(event_loop &loop, control_platform &platform, int number,
                                              duration journalSilenceTimeout = control_settings{}.journalSilenceTimeout, double processorShare = 1.0)
{
    control_settings settings = controlSettings(number, freePort());
    settings.journalSilenceTimeout = journalSilenceTimeout;
    settings.processorShare = processorShare;
    auto entryHost = std::make_unique<control_daemon>(loop, platform.clients(), settings, peerSettings(settings));
    REQUIRE(entryHost->start());
    return entryHost;
}

} // namespace

// Guards against two leaders, and against jobs that are lost in a failover.
TEST_CASE("one of several entry hosts leads, and another takes over with all jobs when it stops", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    std::vector<std::unique_ptr<control_daemon>> entryHosts;
    for (int number = 0; number < 3; ++number) {
        entryHosts.push_back(makeEntryHost(loop, platform, number));
    }
    const auto leaders = [&] {
        return std::count_if(entryHosts.begin(), entryHosts.end(), [](const auto &entryHost) { return entryHost->leadership().leader() != nullptr; });
    };
    runUntil(loop, 5s,
             [&] { return leaders() == 1 && std::all_of(entryHosts.begin(), entryHosts.end(), [](const auto &entryHost) { return entryHost->isReady(); }); });
    REQUIRE(leaders() == 1);

    // Submit one job through each entry host, whether it leads or not.
    int accepted = 0;
    for (std::size_t number = 0; number < entryHosts.size(); ++number) {
        entryHosts[number]->gateway().send(makeSubmission("job" + std::to_string(number)), loop.now() + 3s, [&](const work_gateway::result &result) {
            accepted += result.delivery == work_gateway::delivery_status::responded && result.reply.verdict == wire::work_verdict::done ? 1 : 0;
        });
    }
    runUntil(loop, 4s, [&] { return accepted == 3; });
    REQUIRE(accepted == 3);

    std::erase_if(entryHosts, [](const auto &entryHost) { return entryHost->leadership().leader() != nullptr; });
    runUntil(loop, 8s, [&] { return leaders() == 1; });
    REQUIRE(leaders() == 1);

    int known = 0;
    for (int number = 0; number < 3; ++number) {
        wire::work_call query;
        query.kind = wire::work_call_kind::query;
        query.queue = "queue";
        query.job = "job" + std::to_string(number);
        entryHosts.front()->gateway().send(query, loop.now() + 3s, [&](const work_gateway::result &result) {
            known += result.delivery == work_gateway::delivery_status::responded && result.reply.verdict == wire::work_verdict::done ? 1 : 0;
        });
    }
    runUntil(loop, 4s, [&] { return known == 3; });
    CHECK(known == 3);
}

// Guards against a successor that waits for silence of the journal although the leader has resigned.
TEST_CASE("a leader that resigns is succeeded at once", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    const auto first = makeEntryHost(loop, platform, 0);
    runUntil(loop, 3s, [&] { return first->isReady() && first->leadership().leader() != nullptr; });
    const auto second = makeEntryHost(loop, platform, 1, 1h);
    runUntil(loop, 5s, [&] { return second->isReady(); });
    REQUIRE(second->leadership().leader() == nullptr);

    first->retire();
    runUntil(loop, 10s, [&] { return second->leadership().leader() != nullptr; });
    CHECK(second->leadership().leader() != nullptr);
}

// Incident LOST: a batch that a resigning leader appended before its resignation ended the attempts of all entry hosts, which then waited for the backoff.
TEST_CASE("a leader that says that it resigns is succeeded as soon as the resignation is recorded", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    wire::batch_record header;
    const auto putBatch = [&] {
        platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});
    };
    putBatch();

    // A leader that replies to each probe that it resigns.
    const control_settings resigning = controlSettings(1, freePort());
    const peer_settings resigningPeers = peerSettings(resigning);
    int probes = 0;
    peer_server server(loop, resigningPeers, resigning.peerAddress,
                       [&](const peer_identity &, wire::peer_message &message, const peer_server::reply_function &reply) {
                           if (message.__isset.probe) {
                               ++probes;
                               wire::leader_status status;
                               status.leading = true;
                               status.resigning = true;
                               wire::peer_message response;
                               response.__set_probeReply(status);
                               reply(response);
                           }
                       });
    REQUIRE(server.listen());
    wire::batch_record announcement;
    announcement.peerAddress = resigning.peerAddress;
    platform.store.put(store_topic::leader, {{"leader", encode(announcement)}});

    // With these times the entry host can take over only in its first attempt, and only after a resignation.
    control_settings settings = controlSettings(0, freePort());
    settings.journalSilenceTimeout = 1h;
    settings.electionBackoff = 1h;
    control_daemon entryHost(loop, platform.clients(), settings, peerSettings(settings));
    REQUIRE(entryHost.start());
    runUntil(loop, 5s, [&] { return probes > 1; });
    REQUIRE(probes > 1);

    putBatch();
    runUntil(loop, 200ms, [] { return false; });
    CHECK(entryHost.leadership().leader() == nullptr);
    header.resigned = true;
    putBatch();
    runUntil(loop, 5s, [&] { return entryHost.leadership().leader() != nullptr; });
    CHECK(entryHost.leadership().leader() != nullptr);
}

// Guards against a leader whose processor share is too small for the fleet while other entry hosts have enough.
TEST_CASE("an entry host with a low processor share leaves leadership to one with a larger share", "[control]")
{
    constexpr double lowProcessorShare = 0.1;
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    const auto smallHost = makeEntryHost(loop, platform, 0, control_settings{}.journalSilenceTimeout, lowProcessorShare);
    const auto isLed = [&] {
        return smallHost->isReady() && smallHost->leadership().leader() != nullptr;
    };

    SECTION("at the first election")
    {
        const auto largeHost = makeEntryHost(loop, platform, 1);
        runUntil(loop, 5s, [&] { return largeHost->leadership().leader() != nullptr || smallHost->leadership().leader() != nullptr; });
        CHECK(largeHost->leadership().leader() != nullptr);
        CHECK(smallHost->leadership().leader() == nullptr);
    }
    SECTION("when one with a larger share starts later")
    {
        runUntil(loop, 5s, isLed);
        REQUIRE(isLed());
        const auto largeHost = makeEntryHost(loop, platform, 1);
        runUntil(loop, 8s, [&] { return largeHost->leadership().leader() != nullptr; });
        CHECK(largeHost->leadership().leader() != nullptr);
        CHECK(smallHost->leadership().leader() == nullptr);
    }
    SECTION("but leads when it is alone, and keeps leadership beside one with the same share")
    {
        runUntil(loop, 5s, isLed);
        REQUIRE(isLed());
        const auto other = makeEntryHost(loop, platform, 1, control_settings{}.journalSilenceTimeout, lowProcessorShare);
        runUntil(loop, 4s, [] { return false; });
        CHECK(smallHost->leadership().leader() != nullptr);
    }
}

// Guards against a handover to an entry host that first has to load a large journal, and against one that does not take place because successors are named.
TEST_CASE("a leader with a low processor share hands a large journal over to a successor that has loaded it", "[control]")
{
    constexpr double lowProcessorShare = 0.1;
    constexpr double lowerProcessorShare = 0.05;
    constexpr std::size_t jobCount = 600;
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1"}});
    wire::batch_record header;
    header.resigned = true;
    for (std::size_t number = 0; number < jobCount; ++number) {
        const std::string job = "job" + std::to_string(number);
        platform.store.put(store_topic::journal, {{scheduler::workKey(job), encode(makeSubmission(job).work)}});
    }
    platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});

    const auto first = makeEntryHost(loop, platform, 0, control_settings{}.journalSilenceTimeout, lowProcessorShare);
    runUntil(loop, 5s, [&] { return first->leadership().leader() != nullptr; });
    REQUIRE(first->leadership().leader() != nullptr);
    const auto lower = makeEntryHost(loop, platform, 1, control_settings{}.journalSilenceTimeout, lowerProcessorShare);
    const auto same = makeEntryHost(loop, platform, 2, control_settings{}.journalSilenceTimeout, lowProcessorShare);
    runUntil(loop, 3s, [] { return false; });
    CHECK(first->leadership().successors().size() == 1);
    const std::size_t deliveredBefore = platform.store.deliveredPageRecords;
    const auto large = makeEntryHost(loop, platform, 3);
    runUntil(loop, 8s, [&] { return large->leadership().leader() != nullptr; });
    REQUIRE(large->leadership().leader() != nullptr);
    CHECK(large->leadership().leader()->state().jobCount() == jobCount);
    CHECK(platform.store.deliveredPageRecords - deliveredBefore <= jobCount + 10); // once, and a few announcements and configurations
}

// Guards against telling a caller that its submission was refused when it may have been accepted.
TEST_CASE("a submission still waiting for the leader's reply at its deadline has an unknown outcome", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    const control_settings settings = controlSettings(0, freePort());
    const peer_settings peers = peerSettings(settings);

    // A leader that receives calls and never replies.
    const control_settings unresponsive = controlSettings(1, freePort());
    const peer_settings unresponsivePeers = peerSettings(unresponsive);
    int calls = 0;
    peer_server server(loop, unresponsivePeers, unresponsive.peerAddress,
                       [&](const peer_identity &, wire::peer_message &message, const peer_server::reply_function &) { calls += message.__isset.work ? 1 : 0; });
    REQUIRE(server.listen());
    wire::batch_record announcement;
    announcement.peerAddress = unresponsive.peerAddress;
    platform.store.put(store_topic::leader, {{"leader", encode(announcement)}});
    wire::batch_record header;
    platform.store.put(store_topic::journal, {{journal_writer::batchKey, encode(header)}});

    leadership_task leadership(loop, platform.clients(), settings, peers, [](const std::string &) {});
    work_gateway gateway(loop, leadership, settings);
    leadership.start();
    runUntil(loop, 3s, [&] { return leadership.isConnected(); });
    REQUIRE(leadership.isConnected());

    std::optional<work_gateway::delivery_status> delivery;
    gateway.send(makeSubmission("job"), loop.now() + 200ms, [&](const work_gateway::result &result) { delivery = result.delivery; });
    runUntil(loop, 2s, [&] { return delivery.has_value(); });
    CHECK(calls == 1);
    CHECK(delivery == work_gateway::delivery_status::unknown);
}

// Guards against an unknown outcome for a submission that was never sent, which the caller could not safely retry.
TEST_CASE("a submission that could not be sent to a leader is certainly not accepted", "[control]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.isDown = true;
    const control_settings settings = controlSettings(0, freePort());
    const peer_settings peers = peerSettings(settings);
    leadership_task leadership(loop, platform.clients(), settings, peers, [](const std::string &) {});
    work_gateway gateway(loop, leadership, settings);
    leadership.start();

    std::optional<work_gateway::delivery_status> delivery;
    gateway.send(makeSubmission("job"), loop.now() + 200ms, [&](const work_gateway::result &result) { delivery = result.delivery; });
    runUntil(loop, 2s, [&] { return delivery.has_value(); });
    CHECK(delivery == work_gateway::delivery_status::not_reached);
}

// Guards against an entry host that deposes a working leader because it is partitioned from it.
TEST_CASE("an entry host that can't reach the leader does not take over while the journal is appended to", "[control]")
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

    const auto entryHost = makeEntryHost(loop, platform, 0);
    runUntil(loop, 4s, [&] { return entryHost->leadership().leader() != nullptr; });
    CHECK(entryHost->leadership().leader() == nullptr);
}
