#include "control_fakes.h"
#include "loop_fixture.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<control_daemon> makeEntryHost(event_loop &loop, control_platform &platform, int number)
{
    const control_settings settings = controlSettings(number, freePort());
    auto entryHost = std::make_unique<control_daemon>(loop, platform.clients(), settings, peerSettings(settings));
    REQUIRE(entryHost->start());
    return entryHost;
}

wire::work_call makeCall(wire::work_call_kind::type kind, const std::string &job, const std::string &key, std::int64_t configurationVersion)
{
    wire::work_call call = makeSubmission(job);
    call.kind = kind;
    call.configurationVersion = configurationVersion;
    if (!key.empty()) {
        call.__set_keyDigest(digestOfKey(key));
    }
    return call;
}

/** Sends a call through an entry host and returns the verdict of the leader. */
wire::work_verdict::type send(event_loop &loop, control_daemon &entryHost, const wire::work_call &call)
{
    std::optional<work_gateway::result> received;
    entryHost.gateway().send(call, loop.now() + 3s, [&](const work_gateway::result &result) { received = result; });
    runUntil(loop, 4s, [&] { return received.has_value(); });
    REQUIRE(received);
    REQUIRE(received->delivery == work_gateway::delivery_status::responded);
    return received->reply.verdict;
}

} // namespace

// Failures: an entry host has an outdated configuration, and the leader changes. Guards against a withdrawn key that either of them accepts, and against a
// team that reaches the job of another.
TEST_CASE("a withdrawn key is rejected by the leader whatever the entry host knows, and by its successor", "[control]")
{
    using kind = wire::work_call_kind;
    event_loop loop;
    control_platform platform(loop);
    platform.store.put(store_topic::operators, {{"configuration", "1 red=first-key blue=blue-key"}});
    std::vector<std::unique_ptr<control_daemon>> entryHosts;
    for (int number = 0; number < 2; ++number) {
        entryHosts.push_back(makeEntryHost(loop, platform, number));
    }
    const auto isLeading = [](const auto &entryHost) {
        return entryHost->leadership().leader() != nullptr;
    };
    const auto haveVersion = [&](std::int64_t version) {
        return std::all_of(entryHosts.begin(), entryHosts.end(),
                           [&](const auto &entryHost) { return entryHost->isReady() && entryHost->configuration().version == version; });
    };
    runUntil(loop, 5s, [&] { return std::any_of(entryHosts.begin(), entryHosts.end(), isLeading) && haveVersion(1); });
    REQUIRE(haveVersion(1));

    CHECK(send(loop, *entryHosts[0], makeCall(kind::submit, "job", "first-key", 1)) == wire::work_verdict::done);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::query, "job", "first-key", 1)) == wire::work_verdict::done);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::query, "job", "blue-key", 1)) == wire::work_verdict::not_found);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::cancel, "job", "blue-key", 1)) == wire::work_verdict::not_found);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::submit, "job", "blue-key", 1)) == wire::work_verdict::refused);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::query, "job", "other-key", 1)) == wire::work_verdict::not_authenticated);
    CHECK(send(loop, *entryHosts[1], makeCall(kind::query, "job", {}, 1)) == wire::work_verdict::not_authenticated);
    CHECK(entryHosts[0]->checkKeyFor(entryHosts[0]->configuration().queues[0], digestOfKey("first-key")) == key_verdict::accepted);
    CHECK(entryHosts[0]->checkKeyFor(entryHosts[0]->configuration().queues[0], std::nullopt) == key_verdict::rejected);

    // The call names the version that an outdated entry host would name.
    platform.store.put(store_topic::operators, {{"configuration", "2 red=second-key blue=blue-key"}});
    runUntil(loop, 5s, [&] { return haveVersion(2); });
    REQUIRE(haveVersion(2));
    CHECK(send(loop, *entryHosts[0], makeCall(kind::query, "job", "first-key", 1)) == wire::work_verdict::not_authenticated);
    CHECK(send(loop, *entryHosts[0], makeCall(kind::query, "job", "second-key", 2)) == wire::work_verdict::done);

    std::erase_if(entryHosts, isLeading);
    runUntil(loop, 8s, [&] { return isLeading(entryHosts.front()); });
    REQUIRE(isLeading(entryHosts.front()));
    CHECK(send(loop, *entryHosts[0], makeCall(kind::query, "job", "first-key", 1)) == wire::work_verdict::not_authenticated);
    CHECK(send(loop, *entryHosts[0], makeCall(kind::query, "job", "blue-key", 2)) == wire::work_verdict::not_found);
    CHECK(send(loop, *entryHosts[0], makeCall(kind::query, "job", "second-key", 2)) == wire::work_verdict::done);
    REQUIRE(entryHosts[0]->teamsDocument());
    CHECK(entryHosts[0]->teamsDocument()->find("\"name\":\"red\"") != std::string::npos);
    CHECK(entryHosts[0]->teamsDocument()->find("second-key") == std::string::npos);
}
