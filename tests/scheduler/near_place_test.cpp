#include "manual_cluster.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

scheduler_settings nearSettings(double factor = 1.5)
{
    scheduler_settings settings;
    settings.remoteRunFactor = factor;
    return settings;
}

wire::step_record makeStep(int count, std::int64_t cpuMillicores, std::int64_t milliseconds, const std::string &rack = {})
{
    wire::step_record step;
    step.taskCount = count;
    step.demand.cpuMillicores = cpuMillicores;
    step.demand.memoryMegabytes = 100;
    step.estimateMilliseconds = milliseconds;
    step.preferredRack = rack;
    return step;
}

/** Two racks with one executor each. */
struct two_racks
{
    explicit two_racks(double factor = 1.5)
        : cluster({}, nearSettings(factor))
    {
        cluster.addExecutor("a", {8'000, 16'000, 0}, "rack-a");
        cluster.addExecutor("b", {8'000, 16'000, 0}, "rack-b");
    }

    /** Fills rack a with tasks of the given run time, which have run for the given time and report that much progress. */
    void occupyRackA(std::int64_t milliseconds, duration age)
    {
        cluster.submit("busy", {makeStep(8, 1'000, milliseconds, "rack-a")});
        cluster.settle(1ms);
        REQUIRE(cluster.state.findExecutor("a")->runs.size() == 8);
        cluster.now += age;
        cluster.respondToPoll("a", std::vector<int>(8, static_cast<int>(toSeconds(age) * 1'000 * 100 / static_cast<double>(milliseconds))));
    }

    std::size_t startsOn(const std::string &executor, const std::string &job) const
    {
        return static_cast<std::size_t>(std::count_if(cluster.starts.begin(), cluster.starts.end(),
                                                      [&](const start_order &start) { return start.target.executor == executor && start.task.job == job; }));
    }

    manual_cluster cluster;
};

} // namespace

// Load: the near rack is busy for 0.1 s. Guards against a task that runs half as long again elsewhere although a near place is about to be free.
TEST_CASE("tasks wait for room near their data when it comes soon, and start there", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("near", {makeStep(2, 1'000, 1'000, "rack-a")});
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("b", "near") == 0);
    CHECK(racks.cluster.state.counters().services.at("service").nearWaits == 2);

    racks.cluster.endRuns("a", "busy");
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("a", "near") == 2);
    CHECK(racks.cluster.state.counters().services.at("service").remoteStarts == 0);
}

// Load: the near rack is busy for 3 s. Guards against a wait that costs more than running elsewhere.
TEST_CASE("tasks start elsewhere at once when room near their data comes late", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(3'000, 0ms);
    racks.cluster.submit("near", {makeStep(2, 1'000, 1'000, "rack-a")});
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("b", "near") == 2);
    CHECK(racks.cluster.state.counters().services.at("service").remoteStarts == 2);
}

// Guards against tasks that wait on although the runs on the near rack outlast their forecast.
TEST_CASE("tasks that wait for a near place in vain start elsewhere after what the place would have saved", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("near", {makeStep(1, 1'000, 1'000, "rack-a")});
    const time_point submitted = racks.cluster.now;
    while (racks.startsOn("b", "near") == 0 && racks.cluster.now < submitted + 3s) {
        racks.cluster.settle(10ms);
    }
    CHECK(racks.cluster.now - submitted <= 270ms);
}

// Failure: the near rack is lost while tasks wait for it. Guards against a wait for a rack that accepts no work.
TEST_CASE("tasks start elsewhere at once when the near rack is lost while they wait", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("near", {makeStep(1, 1'000, 1'000, "rack-a")});
    racks.cluster.settle(1ms);
    REQUIRE(racks.startsOn("b", "near") == 0);
    racks.cluster.now += 900ms; // a poll is due
    racks.cluster.failPoll("a");
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("b", "near") == 1);
}

// Load: all jobs want one rack. Guards against tasks that all wait for the same few places while the other rack is idle.
TEST_CASE("only as many tasks wait for a near rack as it will have room for in time", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("near", {makeStep(14, 1'000, 1'000, "rack-a")});
    racks.cluster.settle(1ms);
    CHECK(racks.cluster.state.counters().services.at("service").nearWaits == 8);
    CHECK(racks.startsOn("b", "near") == 6);
}

// Guards against a change for deployments that don't say what a place elsewhere costs.
TEST_CASE("without a known cost of running elsewhere no task waits", "[scheduler]")
{
    two_racks racks(1.0);
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("near", {makeStep(2, 1'000, 1'000, "rack-a")});
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("b", "near") == 2);
}

// Load: a group that fits one rack only in parts. Guards against members on several racks, which all take longer, when a rack is about to have room for all.
TEST_CASE("a group waits together for a rack with room for all of it", "[scheduler]")
{
    two_racks racks;
    racks.occupyRackA(1'000, 900ms);
    racks.cluster.submit("partly", {makeStep(4, 1'000, 5'000, "rack-b")});
    racks.cluster.settle(1ms);
    wire::step_record group = makeStep(6, 1'000, 1'000);
    group.tightlyCoupled = true;
    racks.cluster.submit("group", {group});
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("a", "group") + racks.startsOn("b", "group") == 0);

    racks.cluster.endRuns("a", "busy");
    racks.cluster.settle(1ms);
    CHECK(racks.startsOn("a", "group") == 6);
}
