#include "control_fakes.h"
#include "loop_fixture.h"
#include "partitioned_store.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr const char *configurationKey = "configuration";

/** Sends a probe to the leader and returns whether the reply contains the operator record. */
bool replyHasConfiguration(event_loop &loop, const std::string &leader, bool wantsConfiguration)
{
    const control_settings settings = controlSettings(9, freePort());
    const peer_settings peers = peerSettings(settings);
    std::optional<bool> hasRecord;
    std::unique_ptr<peer_link> link;
    link = std::make_unique<peer_link>(loop, peers, leader, [&](bool isReady) {
        if (!isReady) {
            return;
        }
        wire::leader_probe probe;
        probe.peerAddress = settings.peerAddress;
        probe.wantsConfiguration = wantsConfiguration;
        wire::peer_message message;
        message.__set_probe(probe);
        link->request(message, 2s, [&](const outcome<wire::peer_message> &reply) { hasRecord = reply && reply->probeReply.__isset.configuration; });
    });
    runUntil(loop, 3s, [&] { return hasRecord.has_value(); });
    REQUIRE(hasRecord);
    return *hasRecord;
}

} // namespace

// Incident CONFIG: each reply to a probe contained the complete configuration, so that over slow links a working leader seemed to have failed.
TEST_CASE("the reply to a probe contains the configuration only if it was requested", "[configuration]")
{
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{configurationKey, "5"}});
    const control_settings settings = controlSettings(0, freePort());
    control_daemon leader(loop, platform.clients(), settings, peerSettings(settings));
    REQUIRE(leader.start());
    runUntil(loop, 3s, [&] { return leader.leadership().leader() != nullptr && leader.configuration().version == 5; });
    REQUIRE(leader.configuration().version == 5);

    CHECK_FALSE(replyHasConfiguration(loop, settings.peerAddress, false));
    CHECK(replyHasConfiguration(loop, settings.peerAddress, true));
}

// Guards against an entry host that keeps an old configuration while the store does not deliver the new one.
TEST_CASE("entry hosts that can't read the store get the configuration from their peers within two seconds", "[configuration]")
{
    // Either the leader or its follower can't read the operators' topic.
    const bool isLeaderPartitioned = GENERATE(false, true);
    event_loop loop;
    control_platform platform(loop);
    control_platform partitioned(loop);
    const control_settings leaderSettings = controlSettings(0, freePort());
    control_daemon leader(loop, (isLeaderPartitioned ? partitioned : platform).clients(), leaderSettings, peerSettings(leaderSettings));
    REQUIRE(leader.start());
    runUntil(loop, 3s, [&] { return leader.leadership().leader() != nullptr; });

    wire::batch_record announcement;
    announcement.peerAddress = leaderSettings.peerAddress;
    control_platform &followers = isLeaderPartitioned ? platform : partitioned;
    followers.store.put(store_topic::leader, {{"leader", encode(announcement)}});
    const control_settings followerSettings = controlSettings(1, freePort());
    control_daemon follower(loop, followers.clients(), followerSettings, peerSettings(followerSettings));
    REQUIRE(follower.start());
    runUntil(loop, 3s, [&] { return follower.leadership().isConnected(); });
    REQUIRE(follower.leadership().isConnected());

    platform.store.put(store_topic::operators, {{configurationKey, "7"}});
    runUntil(loop, 2s, [&] { return leader.configuration().version == 7 && follower.configuration().version == 7; });
    CHECK(leader.configuration().version == 7);
    CHECK(follower.configuration().version == 7);
}

// Incident CONFIG: an entry host that could not read the store for a long time replied 404 for queues that had been added meanwhile.
TEST_CASE("an entry host reports a queue as missing only while its configuration is known to be the newest", "[configuration]")
{
    event_loop loop;
    control_platform platform(loop);
    partitioned_store hostStore(loop, platform.store);
    platform.store.put(store_topic::operators, {{configurationKey, "1"}});
    control_settings leaderSettings = controlSettings(0, freePort());
    control_settings settings = controlSettings(1, freePort());
    settings.configurationBound = 1s;
    auto leader = std::make_unique<control_daemon>(loop, platform.clients(), leaderSettings, peerSettings(leaderSettings));
    REQUIRE(leader->start());
    runUntil(loop, 3s, [&] { return leader->leadership().leader() != nullptr; });
    control_daemon host(loop, {hostStore, platform.executors, platform.hosts, platform.decoder}, settings, peerSettings(settings));
    CHECK(host.findQueue("unknown", "/").status == queue_lookup::lookup_status::unconfigured);
    REQUIRE(host.start());
    runUntil(loop, 3s, [&] { return host.isReady() && host.leadership().isConnected(); });
    CHECK(host.findQueue("unknown", "/").status == queue_lookup::lookup_status::not_found);

    // Without the store, the leader's replies confirm the configuration.
    hostStore.isPartitioned = true;
    runUntil(loop, 2s, [] { return false; });
    CHECK(host.findQueue("unknown", "/").status == queue_lookup::lookup_status::not_found);

    leader.reset();
    runUntil(loop, 2s, [] { return false; });
    CHECK(host.findQueue("unknown", "/").status == queue_lookup::lookup_status::unverified);

    hostStore.isPartitioned = false;
    runUntil(loop, 2s, [&] { return host.findQueue("unknown", "/").status == queue_lookup::lookup_status::not_found; });
    CHECK(host.findQueue("unknown", "/").status == queue_lookup::lookup_status::not_found);
}
