#include "control_fakes.h"
#include "executor_fleet.h"
#include "loop_fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int executors = 1'100;
constexpr int dataCentres = 6;
constexpr int jobs = 40;
constexpr int tasksOfJob = 50;

std::string dataCentreName(int number)
{
    return "data-centre-" + std::to_string(number % dataCentres);
}

/** Decodes one queue, and executors whose records hold the name of their data centre. */
class fleet_decoder final : public record_decoder
{
public:
    bool isConfiguration(const std::string &) const override
    {
        return true;
    }

    bool isWave(const std::string &) const override
    {
        return false;
    }

    outcome<queue_configuration> decodeConfiguration(const std::string &) const override
    {
        queue_configuration configuration;
        configuration.version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.maximumAttempts = 4;
        queue.stretch = 5;
        queue.targetMilliseconds = 60'000;
        configuration.queues.push_back(queue);
        configuration.services.push_back({"service", false, false});
        return configuration;
    }

    outcome<wave_request> decodeWave(const std::string &) const override
    {
        return failure{};
    }

    journal_entry encodeWaveStatus(std::int64_t, bool) const override
    {
        return {};
    }

    outcome<executor_description> decodeExecutor(const std::string &key, const std::string &value) const override
    {
        executor_description executor;
        executor.id = key;
        executor.boot = 1;
        executor.address = "127.0.0.1:1";
        executor.service = "service";
        executor.dataCentre = value;
        executor.capacity = {4'000, 8'000, 0};
        executor.clockMilliseconds = 1;
        return executor;
    }
};

/** One entry host and its client of the executors. */
struct entry_host
{
    entry_host(event_loop &loop, memory_store &store, executor_fleet &fleet, host_client &hosts, const record_decoder &decoder, int number, int dataCentre)
        : executors(fleet)
    {
        const control_settings settings = controlSettings(number, freePort());
        peer_settings peers = peerSettings(settings);
        peers.dataCentre = dataCentreName(dataCentre);
        daemon = std::make_unique<control_daemon>(loop, platform_clients{store, executors, hosts, decoder}, settings, peers);
        REQUIRE(daemon->start());
    }

    bool isLeading() const
    {
        return daemon->leadership().leader() != nullptr;
    }

    fleet_client executors;
    std::unique_ptr<control_daemon> daemon;
};

/** Two entry hosts in each data centre, and the leader in the first. */
struct large_deployment
{
    large_deployment()
    {
        store.put(store_topic::operators, {{"configuration", "1"}});
        std::vector<journal_entry> registry;
        for (int number = 0; number < executors; ++number) {
            registry.push_back({"executor-" + std::to_string(number), dataCentreName(number)});
        }
        store.put(store_topic::registry, registry);
        addEntryHost(0);
        runUntil(loop, 5s, [&] { return leader().isLeading(); });
        REQUIRE(leader().isLeading());
        for (int number = 0; number < 2 * dataCentres; ++number) {
            addEntryHost(number);
        }
        runUntil(loop, 5s, [&] { return hasAllRelays(); });
    }

    void addEntryHost(int dataCentre)
    {
        entryHosts.push_back(std::make_unique<entry_host>(loop, store, fleet, hosts, decoder, static_cast<int>(entryHosts.size()), dataCentre));
    }

    entry_host &leader()
    {
        const auto found = std::find_if(entryHosts.begin(), entryHosts.end(), [](const auto &host) { return host->isLeading(); });
        return found == entryHosts.end() ? *entryHosts.front() : **found;
    }

    /** Whether every entry host but the leader has sent starts and polls. */
    bool isEachInUse() const
    {
        return std::all_of(entryHosts.begin() + 1, entryHosts.end(), [](const auto &host) { return host->executors.starts > 0 && host->executors.polls > 0; });
    }

    /** Submits the burst and waits until all of its tasks have been started. */
    void startBurst()
    {
        for (int job = 0; job < jobs; ++job) {
            wire::work_call call = makeSubmission("job-" + std::to_string(job));
            call.work.steps.back().taskCount = tasksOfJob;
            call.work.steps.back().demand.cpuMillicores = 1'000;
            call.work.steps.back().estimateMilliseconds = 100;
            leader().daemon->gateway().send(call, loop.now() + 3s, [](const work_gateway::result &) {});
        }
        runUntil(loop, 20s, [&] { return fleet.starts >= std::size_t{jobs} * tasksOfJob; });
    }

    /** Value of a metric of the leader, 0 if there is none of this name. @param metric name with labels */
    long leaderMetric(const std::string &metric)
    {
        const std::string page = leader().daemon->metricsPage();
        const std::string key = '\n' + metric + ' ';
        const auto found = page.find(key);
        return found == std::string::npos ? 0 : std::stol(page.substr(found + key.size()));
    }

    long leaderWork(const std::string &kind)
    {
        return leaderMetric("parsleyglade_leader_work_total{kind=\"" + kind + "\"}");
    }

    long relayCount()
    {
        return leaderMetric("parsleyglade_leader_relays");
    }

    bool hasAllRelays()
    {
        return relayCount() == 2L * dataCentres;
    }

    event_loop loop;
    memory_store store{loop};
    executor_fleet fleet{loop};
    unresponsive_host_client hosts;
    fleet_decoder decoder;
    std::vector<std::unique_ptr<entry_host>> entryHosts;
};

} // namespace

// Incident SHORT, hungphat-lastworks-large: in a burst of 5,000 starts a second the leader spent more than half of its processor on requests to 1,100
// executors, and its event loop fell 200 to 440 ms behind.
TEST_CASE("in a burst on a large fleet the leader sends no request to an executor whose data centre has a relay", "[control][relay]")
{
    large_deployment deployment;
    entry_host &leader = deployment.leader();
    const std::size_t startsBefore = leader.executors.starts;
    const std::size_t pollsBefore = leader.executors.polls;
    const long roundsBefore = deployment.leaderWork("rounds");
    const long messagesBefore = deployment.leaderWork("relay-messages");

    deployment.startBurst();
    REQUIRE(deployment.fleet.starts >= std::size_t{jobs} * tasksOfJob);
    runUntil(deployment.loop, 500ms, [] { return false; }); // the executors are polled for the ends
    CHECK(leader.executors.starts - startsBefore == 0);
    CHECK(leader.executors.polls - pollsBefore == 0);
    CHECK(deployment.isEachInUse());
    constexpr long relays = 2L * dataCentres;
    CHECK(deployment.leaderWork("relay-messages") - messagesBefore <= relays * (deployment.leaderWork("rounds") - roundsBefore));
}

// Guards against a relay that gets orders although it shuts down, and against orders that are lost with it.
TEST_CASE("when one relay of each data centre shuts down, the other one carries the burst", "[control][relay]")
{
    large_deployment deployment;
    REQUIRE(deployment.hasAllRelays());
    const auto retired = [&](std::size_t number) -> entry_host & {
        return *deployment.entryHosts[number + 1];
    };
    for (std::size_t number = 0; number < dataCentres; ++number) {
        retired(number).daemon->retire();
    }
    runUntil(deployment.loop, 100ms, [] { return false; });
    std::vector<std::size_t> startsBefore;
    for (std::size_t number = 0; number < dataCentres; ++number) {
        startsBefore.push_back(retired(number).executors.starts);
    }
    deployment.startBurst();
    REQUIRE(deployment.fleet.starts >= std::size_t{jobs} * tasksOfJob);
    CHECK(deployment.leader().isLeading());
    CHECK(deployment.leader().executors.starts == 0);
    for (std::size_t number = 0; number < dataCentres; ++number) {
        CHECK(retired(number).executors.starts == startsBefore[number]);
    }
}

// Guards against a successor that keeps sending directly, and against relays that obey the former leader only.
TEST_CASE("after a change of leader the burst goes through relays again", "[control][relay]")
{
    large_deployment deployment;
    REQUIRE(deployment.hasAllRelays());
    entry_host &former = deployment.leader();
    former.daemon->retire();
    runUntil(deployment.loop, 10s, [&] { return !former.isLeading() && deployment.leader().isLeading(); });
    entry_host &successor = deployment.leader();
    REQUIRE(successor.isLeading());
    REQUIRE(&successor != &former);

    // The successor is no relay of its own, and the former leader shuts down.
    runUntil(deployment.loop, 5s, [&] { return deployment.relayCount() == 2L * dataCentres - 1; });
    CHECK(deployment.relayCount() == 2L * dataCentres - 1);
    const std::size_t startsBefore = successor.executors.starts;
    deployment.startBurst();
    REQUIRE(deployment.fleet.starts >= std::size_t{jobs} * tasksOfJob);
    CHECK(deployment.leader().isLeading());
    CHECK(successor.executors.starts == startsBefore);
    CHECK(former.executors.starts == 0);
}
