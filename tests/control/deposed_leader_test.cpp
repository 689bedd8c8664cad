#include "control_fakes.h"
#include "loop_fixture.h"
#include "partitioned_store.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** Two entry hosts that share a store but can be partitioned from it separately. The first one leads. */
struct pair_fixture
{
    pair_fixture()
        : first(loop, {firstStore, platform.executors, platform.hosts, platform.decoder}, firstSettings, peerSettings(firstSettings))
        , second(loop, {secondStore, platform.executors, platform.hosts, platform.decoder}, secondSettings, peerSettings(secondSettings))
    {
        platform.store.put(store_topic::operators, {{"configuration", "1"}});
        REQUIRE(first.start());
        runUntil(loop, 3s, [&] { return first.leadership().leader() != nullptr; });
        REQUIRE(second.start());
        runUntil(loop, 3s, [&] { return first.isReady() && second.isReady() && second.leadership().isConnected(); });
        REQUIRE(first.leadership().leader() != nullptr);
        REQUIRE(second.isReady());
    }

    std::optional<work_gateway::result> send(control_daemon &host, const wire::work_call &call, duration timeout)
    {
        std::optional<work_gateway::result> received;
        host.gateway().send(call, loop.now() + timeout, [&](const work_gateway::result &result) { received = result; });
        runUntil(loop, timeout + 1s, [&] { return received.has_value(); });
        return received;
    }

    event_loop loop;
    control_platform platform{loop};
    partitioned_store firstStore{loop, platform.store};
    partitioned_store secondStore{loop, platform.store};
    control_settings firstSettings = controlSettings(0, freePort());
    control_settings secondSettings = controlSettings(1, freePort());
    control_daemon first;
    control_daemon second;
};

wire::work_call makeCall(wire::work_call_kind::type kind, const std::string &job)
{
    wire::work_call call;
    call.kind = kind;
    call.queue = "queue";
    call.job = job;
    return call;
}

} // namespace

// Incident CONFIG, hungphat-lastworks-grown: an entry host that had lost leadership ten seconds before replied 410 for jobs that its successor
// had accepted.
TEST_CASE("a leader partitioned from the store does not report a job as unknown that its successor has accepted", "[control]")
{
    pair_fixture fixture;
    fixture.firstStore.isPartitioned = true;
    runUntil(fixture.loop, 5s, [&] { return fixture.second.leadership().leader() != nullptr; });
    REQUIRE(fixture.second.leadership().leader() != nullptr);
    const auto accepted = fixture.send(fixture.second, makeSubmission("job"), 2s);
    REQUIRE(accepted);
    REQUIRE(accepted->reply.verdict == wire::work_verdict::done);

    for (const auto kind : {wire::work_call_kind::query, wire::work_call_kind::cancel}) {
        const auto response = fixture.send(fixture.first, makeCall(kind, "job"), 3s);
        REQUIRE(response);
        CHECK(response->reply.verdict != wire::work_verdict::not_found);
    }
}

// Guards against a deposed leader that still replies to calls because it can't read from the store that it has a successor.
TEST_CASE("a leader partitioned from the store learns of its successor from its peers and forwards calls to it", "[control]")
{
    pair_fixture fixture;
    fixture.firstStore.isPartitioned = true;
    runUntil(fixture.loop, 5s, [&] { return fixture.second.leadership().leader() != nullptr; });
    runUntil(fixture.loop, 3s, [&] { return fixture.first.leadership().leader() == nullptr && fixture.first.leadership().isConnected(); });
    CHECK(fixture.first.leadership().leader() == nullptr);
    const auto accepted = fixture.send(fixture.first, makeSubmission("job"), 2s);
    REQUIRE(accepted);
    CHECK(accepted->delivery == work_gateway::delivery_status::responded);
    CHECK(accepted->reply.verdict == wire::work_verdict::done);
}

// Guards against stale reads: while leadership is not confirmed, a successor may have accepted jobs that this leader does not know.
TEST_CASE("only a leader confirmed by the journal reports the number of pending jobs or that a job is unknown", "[control]")
{
    pair_fixture fixture;
    const auto pending = makeCall(wire::work_call_kind::count_pending, {});
    const auto unknown = makeCall(wire::work_call_kind::query, "unknown");
    fixture.firstStore.isPartitioned = true;
    fixture.secondStore.isPartitioned = true;
    runUntil(fixture.loop, fixture.firstSettings.readLease + 200ms, [] { return false; });
    const auto wait = GENERATE(500ms, 6s);
    runUntil(fixture.loop, wait, [] { return false; });
    for (const wire::work_call &call : {pending, unknown}) {
        const auto response = fixture.send(fixture.first, call, 300ms);
        REQUIRE(response);
        CHECK(response->delivery != work_gateway::delivery_status::responded);
    }

    fixture.firstStore.isPartitioned = false;
    runUntil(fixture.loop, 3s, [&] { return fixture.first.isReady(); });
    const auto response = fixture.send(fixture.first, unknown, 2s);
    REQUIRE(response);
    CHECK(response->delivery == work_gateway::delivery_status::responded);
    CHECK(response->reply.verdict == wire::work_verdict::not_found);
}

// Guards against stale reads: a leader that has stated that the store refuses it may have a successor at once.
TEST_CASE("a leader that the store refuses reports no job as unknown and no number of pending jobs from its own state", "[control]")
{
    pair_fixture fixture;
    fixture.secondStore.isPartitioned = true; // so that nobody takes over
    fixture.firstStore.isRefused = true;
    runUntil(fixture.loop, 1s, [&] { return fixture.first.leadership().leader()->isStoreRefusing(); });
    REQUIRE(fixture.first.leadership().leader()->isStoreRefusing());
    REQUIRE(fixture.first.leadership().leader()->journalAge() < fixture.firstSettings.readLease - 200ms);
    const auto pending = makeCall(wire::work_call_kind::count_pending, {});
    const auto unknown = makeCall(wire::work_call_kind::query, "unknown");
    for (const wire::work_call &call : {pending, unknown}) {
        const auto response = fixture.send(fixture.first, call, 100ms);
        REQUIRE(response);
        CHECK(response->delivery != work_gateway::delivery_status::responded);
    }

    fixture.firstStore.isRefused = false;
    const auto response = fixture.send(fixture.first, unknown, 2s);
    REQUIRE(response);
    CHECK(response->reply.verdict == wire::work_verdict::not_found);
}

// Guards against a statement that reaches a follower only after the time for which a probe is held, because it had none under way when it was made.
TEST_CASE("a leader that the store refuses replies to each probe at once", "[control]")
{
    constexpr int probeCount = 3;
    pair_fixture fixture;
    fixture.secondStore.isPartitioned = true; // so that nobody takes over
    fixture.firstStore.isRefused = true;
    runUntil(fixture.loop, 1s, [&] { return fixture.first.leadership().leader()->isStoreRefusing(); });
    REQUIRE(fixture.first.leadership().leader()->isStoreRefusing());

    const control_settings prober = controlSettings(2, freePort());
    const peer_settings proberPeers = peerSettings(prober);
    peer_link link(fixture.loop, proberPeers, fixture.firstSettings.peerAddress, [](bool) {});
    runUntil(fixture.loop, 1s, [&] { return link.isReady(); });
    REQUIRE(link.isReady());
    const time_point startedAt = fixture.loop.now();
    for (int number = 0; number < probeCount; ++number) {
        wire::leader_probe probe;
        probe.configurationVersion = 1;
        probe.peerAddress = prober.peerAddress;
        wire::peer_message message;
        message.__set_probe(probe);
        std::optional<bool> isRefused;
        link.request(message, 1s, [&](const outcome<wire::peer_message> &reply) { isRefused = reply && reply->probeReply.storeRefuses; });
        runUntil(fixture.loop, 2s, [&] { return isRefused.has_value(); });
        CHECK(isRefused == true);
    }
    CHECK(fixture.loop.now() - startedAt < fixture.firstSettings.maximumProbeReplyDelay);
}

// Guards against the time of watching where the leader itself says that the store refuses it, also on a deployment that names no successors.
TEST_CASE("a leader that the store refuses is succeeded at once by an entry host that reaches the store", "[control]")
{
    pair_fixture fixture;
    fixture.firstStore.isRefused = true;
    runUntil(fixture.loop, 5s, [&] { return fixture.second.leadership().leader() != nullptr; });
    REQUIRE(fixture.second.leadership().leader() != nullptr);
    REQUIRE(fixture.firstStore.firstRefusedAppendAt);
    CHECK(fixture.loop.now() - *fixture.firstStore.firstRefusedAppendAt <= 300ms);
    runUntil(fixture.loop, 3s, [&] { return fixture.first.leadership().leader() == nullptr && fixture.first.leadership().isConnected(); });
    CHECK(fixture.first.leadership().leader() == nullptr);
    CHECK(fixture.first.leadership().isConnected());
}

// Guards against 504 for submissions that were never passed to the scheduler, which callers can't safely retry elsewhere.
TEST_CASE("a submission during an outage of the store is certainly not accepted", "[control]")
{
    pair_fixture fixture;
    fixture.firstStore.isPartitioned = true;
    fixture.secondStore.isPartitioned = true;
    runUntil(fixture.loop, fixture.firstSettings.readLease + 100ms, [] { return false; });
    for (control_daemon *host : {&fixture.first, &fixture.second}) {
        const auto response = fixture.send(*host, makeSubmission("job"), 2850ms);
        REQUIRE(response);
        CHECK(response->delivery == work_gateway::delivery_status::not_reached);
    }

    fixture.firstStore.isPartitioned = false;
    fixture.secondStore.isPartitioned = false;
    runUntil(fixture.loop, 4s, [&] { return fixture.first.isReady() && fixture.second.isReady(); });
    runUntil(fixture.loop, 500ms, [] { return false; });
    const auto state = fixture.send(fixture.first, makeCall(wire::work_call_kind::query, "job"), 2s);
    REQUIRE(state);
    CHECK(state->reply.verdict == wire::work_verdict::not_found);
}
