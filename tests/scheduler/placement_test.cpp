#include "manual_cluster.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

wire::step_record stepOf(int count, std::int64_t cpu)
{
    wire::step_record step;
    step.taskCount = count;
    step.demand.cpuMillicores = cpu;
    step.demand.memoryMegabytes = 100;
    step.estimateMilliseconds = 500;
    step.maximumAway = -1;
    return step;
}

int startsOf(const manual_cluster &cluster, const std::string &job)
{
    return static_cast<int>(std::count_if(cluster.starts.begin(), cluster.starts.end(), [&](const start_order &order) { return order.task.job == job; }));
}

} // namespace

// Guards against a gang without room for all its members whose failed search hides the free executors from smaller tasks.
TEST_CASE("a gang that cannot be placed leaves its room to smaller tasks")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.addExecutor("b");
    wire::step_record gang = stepOf(3, 8'000);
    gang.gang = true;
    cluster.submit("gang", {gang});
    cluster.settle();
    cluster.submit("small", {stepOf(2, 1'000)});
    cluster.settle();
    CHECK(startsOf(cluster, "gang") == 0);
    CHECK(startsOf(cluster, "small") == 2);
}

// Guards against jobs that are never started although executors are idle: a gang found no room beside its own members, and later jobs that need as much or more
// were passed over for the rest of each round (review case 9).
TEST_CASE("a gang that can never be placed does not hold up other jobs")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.addExecutor("b");
    wire::step_record gang = stepOf(5, 3'500); // each executor has room for two
    gang.gang = true;
    wire::step_record larger = stepOf(2, 4'500);
    wire::step_record requiringMemory = stepOf(2, 1'000);
    requiringMemory.demand.memoryMegabytes = 9'000;

    SECTION("a job that needs more of each executor")
    {
        cluster.submit("gang", {gang});
        cluster.submit("other", {larger});
        cluster.settle();
        CHECK(startsOf(cluster, "other") == 2);
    }
    SECTION("a job that needs as much")
    {
        cluster.submit("gang", {gang});
        cluster.submit("other", {stepOf(4, 3'500)});
        cluster.settle();
        CHECK(startsOf(cluster, "other") == 4);
    }
    SECTION("a gang that fits, behind one that does not")
    {
        cluster.submit("gang", {gang});
        wire::step_record fitting = stepOf(4, 3'600);
        fitting.gang = true;
        cluster.submit("other", {fitting});
        cluster.settle();
        CHECK(startsOf(cluster, "other") == 4);
    }
    SECTION("a job without room for one of its tasks before")
    {
        cluster.submit("huge", {stepOf(1, 9'000)});
        cluster.submit("gang", {gang});
        cluster.submit("other", {larger});
        cluster.settle();
        CHECK(startsOf(cluster, "other") == 2);
    }
    SECTION("a job that needs more memory")
    {
        gang.demand.memoryMegabytes = 8'500; // each executor has room for one
        gang.demand.cpuMillicores = 1'000;
        cluster.submit("gang", {gang});
        cluster.submit("other", {requiringMemory});
        cluster.settle();
        CHECK(startsOf(cluster, "other") == 2);
    }
    CHECK(startsOf(cluster, "gang") == 0);
}

// Guards against an executor that stays out of use because its memory was too small for the first demands on its service.
TEST_CASE("a task with little memory uses an executor that has none left for the others")
{
    manual_cluster cluster;
    cluster.addExecutor("a", {8'000, 1'000, 0});
    wire::step_record large = stepOf(3, 1'000);
    large.demand.memoryMegabytes = 900;
    cluster.submit("large", {large});
    cluster.settle();
    CHECK(startsOf(cluster, "large") == 1);
    cluster.submit("small", {stepOf(1, 1'000)});
    cluster.settle();
    CHECK(startsOf(cluster, "small") == 1);
}

// Guards against a search that stops at an executor on another rack although one on the preferred rack has room.
TEST_CASE("a task goes to its preferred rack, however tight the fit elsewhere")
{
    manual_cluster cluster;
    for (const char *rack : {"r1", "r2"}) {
        cluster.addExecutor(rack);
        executor_description description = cluster.state.findExecutor(rack)->description;
        description.rack = rack;
        cluster.state.updateExecutor(description, cluster.now);
    }
    cluster.submit("filler", {stepOf(1, 7'000)});
    cluster.settle();
    REQUIRE(cluster.starts.size() == 1);
    const std::string used = cluster.starts.front().target.executor;
    wire::step_record step = stepOf(1, 1'000);
    step.preferredRack = used == "r1" ? "r2" : "r1";
    cluster.submit("job", {step});
    cluster.settle();
    REQUIRE(startsOf(cluster, "job") == 1);
    CHECK(cluster.starts.back().target.executor == step.preferredRack);
}
