#include "large_deployment.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

// Targets of the design for the time without a leader: when the leader says that it gives way, and when its silence has to be waited for.
constexpr duration toldTarget = 300ms;
constexpr duration silenceTarget = 1000ms;

// A watch lasts three round trips beyond the silence timeout; each takes a few milliseconds here.
constexpr duration watchRoundTrips = 50ms;

constexpr std::size_t pageRecords = 500;

} // namespace

// Incident SHORT, hungphat-lastworks-large: after a change of leader nothing started for 2 to 5 s. The followers waited for silence of the journal even when
// the leader knew that the store refused it, and then each of them loaded all jobs.
TEST_CASE("the time without a leader and the records read for a takeover do not depend on the number of jobs and entry hosts", "[control][takeover]")
{
    large_deployment deployment;
    REQUIRE(deployment.start());
    memory_store &store = deployment.platform.store;
    large_deployment::host &old = *deployment.hosts.front();
    const std::size_t deliveredBefore = store.deliveredPageRecords;

    duration target{};
    time_point lostAt = deployment.loop.now();
    SECTION("the leader resigns")
    {
        target = toldTarget;
        old.daemon->retire();
    }
    SECTION("the store refuses the leader")
    {
        target = toldTarget;
        old.store.isRefused = true;
        runUntil(deployment.loop, 1s, [&] { return old.store.firstRefusedAppendAt.has_value(); });
        REQUIRE(old.store.firstRefusedAppendAt);
        lostAt = *old.store.firstRefusedAppendAt;
    }
    SECTION("the leader is killed")
    {
        target = silenceTarget + watchRoundTrips;
        old.daemon.reset();
    }

    runUntil(deployment.loop, 20s, [&] { return deployment.leader(&old) != nullptr; });
    const large_deployment::host *successor = deployment.leader(&old);
    REQUIRE(successor != nullptr);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(deployment.loop.now() - lostAt);
    const std::size_t delivered = store.deliveredPageRecords - deliveredBefore;
    CAPTURE(elapsed.count(), delivered);
    CHECK(elapsed <= target);
    CHECK(delivered <= pageRecords);
    CHECK(successor->daemon->leadership().leader()->state().jobCount() == large_deployment::jobCount);
    CHECK(successor->processorShare >= control_settings{}.leaderProcessorShare);

    // The old leader learns of it from another entry host when it can't read the announcement.
    runUntil(deployment.loop, 1s, [&] { return !old.isLeading(); });
    CHECK_FALSE(old.isLeading());

    // Only another successor loads the journal afterwards, in place of the one that leads.
    runUntil(deployment.loop, 3s, [] { return false; });
    CHECK(store.deliveredPageRecords - deliveredBefore <= large_deployment::journalRecords + pageRecords);
    CHECK(deployment.leader() == successor);
}

// Guards against a fleet that loads the journal once for each entry host when the named successors are lost together with the leader.
TEST_CASE("when the named successors are lost as well, few entry hosts load the journal", "[control][takeover]")
{
    large_deployment deployment;
    REQUIRE(deployment.start());
    memory_store &store = deployment.platform.store;
    large_deployment::host &old = *deployment.hosts.front();
    const std::vector<std::string> successors = old.daemon->leadership().successors();
    REQUIRE(successors.size() == 2);
    const std::size_t deliveredBefore = store.deliveredPageRecords;
    for (const auto &host : deployment.hosts) {
        if (host.get() == &old || std::find(successors.begin(), successors.end(), host->address) != successors.end()) {
            host->daemon.reset();
        }
    }

    runUntil(deployment.loop, 20s, [&] { return deployment.leader(&old) != nullptr; });
    const large_deployment::host *successor = deployment.leader(&old);
    REQUIRE(successor != nullptr);
    // Only some begin before the first one has loaded the journal and taken over.
    constexpr std::size_t maximumLoads = large_deployment::hostCount / 4;
    const std::size_t delivered = store.deliveredPageRecords - deliveredBefore;
    CAPTURE(delivered);
    CHECK(delivered <= maximumLoads * large_deployment::journalRecords);
    CHECK(successor->daemon->leadership().leader()->state().jobCount() == large_deployment::jobCount);
}

// Guards against successors that go on competing with the leader after their takeover was refused as well, and depose it when the store is back.
TEST_CASE("a leader goes on leading when the store refuses all appends but serves reads", "[control][takeover]")
{
    large_deployment deployment;
    REQUIRE(deployment.start());
    constexpr int outages = 4; // after each, the leader and the successors repeat their appends in an order that is chance
    const auto setRefused = [&](bool refuses) {
        for (const auto &host : deployment.hosts) {
            host->store.refusesAppends = refuses;
        }
    };
    for (int outage = 0; outage < outages; ++outage) {
        setRefused(true);
        runUntil(deployment.loop, 600ms, [] { return false; });
        setRefused(false);
        runUntil(deployment.loop, 1500ms, [] { return false; });
        REQUIRE(deployment.leader() == deployment.hosts.front().get());
    }
}

// Guards against a takeover by a successor that the store refuses as well, and against a leader that is deposed although no other entry host can do better.
TEST_CASE("a leader that the store refuses goes on leading when it refuses all entry hosts", "[control][takeover]")
{
    large_deployment deployment;
    REQUIRE(deployment.start());
    for (const auto &host : deployment.hosts) {
        host->store.isRefused = true;
    }
    runUntil(deployment.loop, 3s, [] { return false; });
    for (const auto &host : deployment.hosts) {
        host->store.isRefused = false;
    }
    runUntil(deployment.loop, 1500ms, [] { return false; });
    CHECK(deployment.leader() == deployment.hosts.front().get());
}
