#include "allocation_counter.h"
#include "manual_cluster.h"
#include "scheduler_run.h"

#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

constexpr int largeFleet = 1'100; // executors

run_settings burstOnLargeFleet()
{
    run_settings settings;
    settings.executors = largeFleet;
    settings.bursts = true;
    settings.length = 9s; // two queues burst in turn
    settings.drain = 12s;
    return settings;
}

/** Executors compared for each started task, without those for the long-running tasks. */
double comparedPerStart(const run_report &report)
{
    return static_cast<double>(report.counters.candidateVisits - report.afterSetUp.candidateVisits) / static_cast<double>(report.startedTasks);
}

} // namespace

// Pattern: bursts of tens of thousands of tasks on 1,100 executors. Guards against a leader that looks at the whole fleet in each round, so that a burst
// leaves it no time for the runs that it has accepted.
TEST_CASE("the work for a started task follows the changes of its executor, not the size of the fleet")
{
    const run_report large = scheduler_run(burstOnLargeFleet()).measure();
    REQUIRE(large.startedTasks > 15'000);
    // A run changes its executor when it is planned, started, confirmed, polled, listed, ended and acknowledged, and is checked about five times.
    constexpr double changesOfRun = 12;
    CHECK(static_cast<double>(large.counters.executorVisits) / static_cast<double>(large.startedTasks) < changesOfRun);

    // The search begins at the tightest fit. Executors whose memory is used up are passed over once in a round.
    constexpr double executorsOfService = largeFleet / 5.0;
    CHECK(comparedPerStart(large) < executorsOfService / 20);
}

// Guards against rounds that cost time although nothing has changed.
TEST_CASE("a round without a change looks at no executor")
{
    run_settings settings = burstOnLargeFleet();
    settings.length = 200ms;
    settings.drain = 6s;
    const std::uint64_t visitsInSixSeconds = scheduler_run(settings).measure().counters.executorVisits;
    settings.drain = 12s;
    const std::uint64_t visitsInTwelveSeconds = scheduler_run(settings).measure().counters.executorVisits;
    // The long-running tasks remain: about 1,100 polls a second, each with its response, and five checks a second of each executor that has runs.
    constexpr std::uint64_t visitsOfRunsPerSecond = largeFleet * 10;
    CHECK(visitsInTwelveSeconds - visitsInSixSeconds < 6 * visitsOfRunsPerSecond);
}

// Pattern: the same bursts with half the rounds of decisions, as on a busy or slow machine. Guards against losing accepted jobs when the leader falls
// behind, and against refusing without need afterwards.
TEST_CASE("a leader that gets half the rounds loses nothing that it has accepted")
{
    run_settings settings = burstOnLargeFleet();
    settings.roundShare = 2;
    const run_report report = scheduler_run(settings).measure();
    INFO("accepted " << report.acceptedJobs << " refused " << report.refusedJobs << " late " << report.lateJobs);
    CHECK(report.unfinishedJobs == 0);
    CHECK(report.completedJobs == report.acceptedJobs);
}

// Guards against work for each run of an executor in a poll response that changes none of them, which is the usual one: the keys of the runs were copied, and
// each run was looked up by the name of its job.
TEST_CASE("a list that changes no run allocates nothing")
{
    manual_cluster cluster;
    cluster.addExecutor("a");
    wire::step_record step;
    step.taskCount = 6;
    step.demand.cpuMillicores = 1'000;
    step.estimateMilliseconds = 60'000;
    step.maximumAway = -1;
    cluster.submit("a-job-with-a-long-name", {step});
    cluster.settle();
    REQUIRE(cluster.state.findExecutor("a")->runs.size() == 6);

    const std::string executor = "a";
    std::uint64_t allocations = 0;
    for (int poll = 0; poll < 3; ++poll) {
        cluster.now += 100ms;
        REQUIRE(cluster.state.takePoll(executor, cluster.now));
        poll_response response;
        response.result = order_result::done;
        response.boot = 1;
        response.clockMilliseconds = cluster.clock();
        for (const run_key &key : cluster.state.findExecutor(executor)->runs) {
            response.running.push_back({key.task, key.run, {}, 10, 0});
        }
        const std::uint64_t before = allocationCount();
        cluster.state.handlePollResponse(executor, response, cluster.now, cluster.now);
        allocations = allocationCount() - before;
    }
    CHECK(allocations == 0);
}
