#include "manual_cluster.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr resources largeExecutor{64'000, 64'000, 0};

wire::step_record makeStep(int count, std::int64_t milliseconds, bool permitsCopies)
{
    wire::step_record step;
    step.taskCount = count;
    step.demand.cpuMillicores = 1'000;
    step.demand.memoryMegabytes = 100;
    step.estimateMilliseconds = milliseconds;
    step.speculative = permitsCopies;
    return step;
}

/** Four tasks of one second on executor "slow", of which each shows the given progress after 800 ms; executor "sound" joins then. */
struct slow_executor
{
    explicit slow_executor(bool permitsCopies, const std::vector<int> &progress)
    {
        cluster.addExecutor("slow", largeExecutor, "rack-a");
        cluster.submit("job", {makeStep(static_cast<int>(progress.size()), 1'000, permitsCopies)});
        cluster.settle();
        cluster.addExecutor("sound", largeExecutor, "rack-b");
        cluster.now += 800ms;
        cluster.respondToPoll("slow", progress);
        cluster.settle(250ms);
        cluster.settle(1ms);
    }

    std::size_t copies() const
    {
        return static_cast<std::size_t>(
            std::count_if(cluster.starts.begin(), cluster.starts.end(), [](const start_order &start) { return start.target.executor == "sound"; }));
    }

    manual_cluster cluster;
};

} // namespace

// Load: an executor that runs everything eight times as long. Guards against a job that waits for the slowest executor although it permits copies, and against
// a loser that runs on.
TEST_CASE("tasks on a slow executor get a second copy on another rack, and the first end counts", "[scheduler]")
{
    slow_executor scene(true, {10, 9, 10, 11});
    CHECK(scene.copies() == 4);
    CHECK(scene.cluster.state.counters().services.at("service").copies == 4);

    scene.cluster.endRuns("sound", "job");
    scene.cluster.settle(30ms);
    CHECK(scene.cluster.state.findJob("job")->state == work_state::completed);
    CHECK(scene.cluster.stops.size() == 4);
    CHECK(std::all_of(scene.cluster.stops.begin(), scene.cluster.stops.end(), [](const stop_order &stop) { return stop.target.executor == "slow"; }));
}

// Guards against copies of a step that forbids them, and against copies of a slow task on a sound executor.
TEST_CASE("no copy is made without permission, or of a task that is slow by itself", "[scheduler]")
{
    CHECK(slow_executor(false, {10, 9, 10, 11}).copies() == 0);
    CHECK(slow_executor(true, {10, 80, 85, 90}).copies() == 0);
}

// Failure: the leader changes while a copy runs. Guards against a successor that does not know one of the two runs, or starts a third.
TEST_CASE("a successor knows both runs of a task and starts no third", "[scheduler]")
{
    slow_executor scene(true, {10, 9, 10, 11});
    REQUIRE(scene.copies() == 4);
    scheduler successor{scheduler_settings{}};
    for (const auto &[key, value] : scene.cluster.journal) {
        REQUIRE(successor.restore(key, value));
    }
    successor.lead(2, scene.cluster.now, scene.cluster.wall());
    successor.setConfiguration(scene.cluster.configuration);
    for (const scheduled_task &task : successor.findJob("job")->occurrences[0].steps[0].tasks) {
        CHECK(task.runs.size() == 2);
    }
    CHECK(successor.findExecutor("slow")->runs.size() == 4);
    CHECK(successor.findExecutor("sound")->runs.size() == 4);
}

// Load: a task of five minutes, whose progress rises by a percent in three seconds. Guards against a long task that is stopped again and again as stalled.
TEST_CASE("a long task is stopped as stalled only after a tenth of its run time without progress", "[scheduler]")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    cluster.submit("long", {makeStep(1, 300'000, false)});
    cluster.submit("short", {makeStep(1, 1'000, false)});
    cluster.settle();
    for (int second = 0; second < 4; ++second) {
        cluster.now += 1s;
        cluster.respondToPoll("a", {0, 0});
        cluster.settle(250ms);
    }
    REQUIRE(cluster.stops.size() == 1);
    CHECK(cluster.stops[0].task.job == "short");
    for (int second = 0; second < 30; ++second) {
        cluster.now += 1s;
        cluster.respondToPoll("a", {0, 0});
        cluster.settle(250ms);
    }
    CHECK(cluster.stops.back().task.job == "long");
}
