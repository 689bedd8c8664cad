#include "manual_cluster.h"
#include "scheduler/pool_planner.h"
#include "scheduler/wave_manager.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int maintainedHosts = 8;
constexpr resources largeCapacity{10'000, 16'000, 0}; // the smaller executors of earlier lives fit more tightly, so they are chosen first

host_description hostWith(const std::string &name, const std::string &executor, host_state state = host_state::up)
{
    host_description host;
    host.name = name;
    host.pool = "service";
    host.state = state;
    host.executor = executor;
    host.capacity = {8'000, 16'000, 0};
    return host;
}

bool isOfEarlierLife(const std::string &executor)
{
    return executor.starts_with("before-");
}

/** A fleet in a maintenance wave: each host has had an executor "before-N", which the registry still lists, and has got "after-N". */
struct maintained_fleet
{
    maintained_fleet()
    {
        waves.lead(1, cluster.now);
        waves.setHosts(listHosts("before-"), cluster.now);
        for (int number = 0; number < maintainedHosts; ++number) {
            cluster.addExecutor("before-" + std::to_string(number));
        }
        wave_request request;
        request.wave = 1;
        request.cap = maintainedHosts;
        request.within = 60s;
        for (int number = 0; number < maintainedHosts; ++number) {
            request.hosts.insert("host-" + std::to_string(number));
        }
        waves.setWave(request, cluster.now);
    }

    static std::vector<host_description> listHosts(const std::string &executorPrefix)
    {
        std::vector<host_description> hosts;
        for (int number = 0; number < maintainedHosts; ++number) {
            hosts.push_back(hostWith("host-" + std::to_string(number), executorPrefix + std::to_string(number)));
        }
        return hosts;
    }

    /** Evacuates and maintains all hosts. Afterwards the list shows each with its new executor, which has answered a poll. */
    void maintainAllHosts()
    {
        std::set<std::string> maintained;
        while (maintained.size() < maintainedHosts) {
            waves.decide(cluster.now, [](const std::string &) { return false; });
            cluster.settle(10ms);
            std::vector<host_description> hosts = listHosts("before-");
            for (const host_order &order : waves.takeOrders()) {
                maintained.insert(order.host);
                waves.handleOrderResult(order, host_order_result::done, cluster.now);
            }
            for (host_description &host : hosts) {
                if (maintained.contains(host.name)) {
                    host.executor = "after-" + host.name.substr(host.name.find('-') + 1);
                }
            }
            cluster.now += 10ms;
            waves.setHosts(std::move(hosts), cluster.now);
        }
        waves.decide(cluster.now, [](const std::string &) { return false; });
        for (int number = 0; number < maintainedHosts; ++number) {
            cluster.addExecutor("after-" + std::to_string(number), largeCapacity);
        }
    }

    manual_cluster cluster;
    wave_manager waves{cluster.state, {0s}};
};

/** Lets the cluster run. Start orders to executors of an earlier life can't be delivered; they are answered like those that the leader could not send, so that
    only the host list keeps work from these executors. Returns how many were not delivered. */
int countUndeliveredStarts(manual_cluster &cluster, duration time)
{
    int undelivered = 0;
    const time_point end = cluster.now + time;
    while (cluster.now < end) {
        cluster.now += 20ms;
        cluster.state.decide(cluster.now, cluster.wall());
        if (const auto batch = cluster.state.takeBatch()) {
            cluster.state.confirmBatch(batch->number, cluster.now);
        }
        for (scheduler_action &action : cluster.state.takeActions()) {
            if (const auto *start = std::get_if<start_order>(&action)) {
                const bool isDelivered = !isOfEarlierLife(start->target.executor);
                undelivered += isDelivered ? 0 : 1;
                const order_response response{isDelivered ? order_result::done : order_result::not_sent, isDelivered ? cluster.clock() : 0};
                cluster.state.handleStartResponse(*start, response, cluster.now, cluster.now);
            }
        }
    }
    return undelivered;
}

} // namespace

// Pattern: a maintenance wave over a third of the fleet, whose executors stay in the registry for three heartbeats after the maintenance has ended them.
// Guards against a lasting task that is started again and again on executors of earlier lives of their hosts, which are listed, idle and empty (LOST).
TEST_CASE("no task is started on an executor whose host has got another one")
{
    maintained_fleet fleet;
    fleet.maintainAllHosts();
    fleet.cluster.submit("lasting", {longRunningStep(4)});
    CHECK(countUndeliveredStarts(fleet.cluster, 4s) == 0);
    const auto &tasks = fleet.cluster.state.findJob("lasting")->occurrences[0].steps[0].tasks;
    CHECK(std::all_of(tasks.begin(), tasks.end(), [](const scheduled_task &task) { return task.runs.size() == 1; }));
}

// Guards against the same on other ways by which a host loses its executor: it crashes, is being moved, or leaves the list.
TEST_CASE("no task is started on an executor whose host is not up")
{
    const auto state = GENERATE(host_state::down, host_state::moving, host_state::maintenance);
    manual_cluster cluster;
    wave_manager waves{cluster.state, {0s}};
    cluster.addExecutor("before-0");
    cluster.addExecutor("remaining", largeCapacity);
    waves.setHosts({hostWith("host", "before-0"), hostWith("other", "remaining")}, cluster.now);
    SECTION("the list shows its state")
    {
        waves.setHosts({hostWith("host", "before-0", state), hostWith("other", "remaining")}, cluster.now);
    }
    SECTION("the list does not have it")
    {
        waves.setHosts({hostWith("other", "remaining")}, cluster.now);
    }
    cluster.submit("lasting", {longRunningStep(1)});
    CHECK(countUndeliveredStarts(cluster, 1s) == 0);
    CHECK(cluster.state.findExecutor("remaining")->runs.size() == 1);
}

// Guards against capacity that stays unused: the host is up again, or its executor has started again before the next list.
TEST_CASE("an executor gets work again once its host is up")
{
    manual_cluster cluster;
    wave_manager waves{cluster.state, {0s}};
    cluster.addExecutor("executor");
    waves.setHosts({hostWith("host", "executor")}, cluster.now);
    waves.setHosts({hostWith("host", "executor", host_state::down)}, cluster.now);
    cluster.submit("job", {longRunningStep(1)});
    cluster.settle();
    REQUIRE(cluster.starts.empty());
    SECTION("by the list")
    {
        waves.setHosts({hostWith("host", "executor")}, cluster.now);
    }
    SECTION("by a new boot in the registry")
    {
        executor_description description = cluster.state.findExecutor("executor")->description;
        description.boot = 2;
        cluster.state.updateExecutor(description, cluster.now);
        REQUIRE(cluster.state.takePoll("executor", cluster.now));
        poll_response response;
        response.result = order_result::done;
        response.boot = 2;
        response.clockMilliseconds = cluster.clock();
        cluster.state.handlePollResponse("executor", response, cluster.now, cluster.now);
    }
    cluster.settle();
    CHECK(cluster.starts.size() == 1);
}

// Guards against a start that is lost for certain: the run was placed while the host was up, and the host was gone when the journal had the run.
TEST_CASE("a run that waits for its record is not started once its executor is gone")
{
    manual_cluster cluster;
    wave_manager waves{cluster.state, {0s}};
    cluster.addExecutor("before-0");
    cluster.addExecutor("remaining", largeCapacity);
    waves.setHosts({hostWith("host", "before-0"), hostWith("other", "remaining")}, cluster.now);
    cluster.submit("lasting", {longRunningStep(1)});
    cluster.now += 20ms;
    cluster.state.decide(cluster.now, cluster.wall());
    const auto batch = cluster.state.takeBatch();
    REQUIRE(batch);
    REQUIRE(cluster.state.findExecutor("before-0")->runs.size() == 1);

    waves.setHosts({hostWith("host", "after-0"), hostWith("other", "remaining")}, cluster.now);
    cluster.state.confirmBatch(batch->number, cluster.now);
    CHECK(countUndeliveredStarts(cluster, 200ms) == 0);
    CHECK(cluster.state.findExecutor("remaining")->runs.size() == 1);
}

// Guards against an executor that is out of use until the next list: one that was requested before the new boot shows the host down.
TEST_CASE("a host list that was requested before a boot was known does not speak of that boot")
{
    manual_cluster cluster;
    wave_manager waves{cluster.state, {0s}};
    const time_point requestedBefore = cluster.now;
    cluster.now += 10ms;
    cluster.addExecutor("executor");
    waves.setHosts({hostWith("host", "executor", host_state::down)}, requestedBefore);
    cluster.submit("job", {longRunningStep(1)});
    cluster.settle();
    CHECK(cluster.starts.size() == 1);
}
