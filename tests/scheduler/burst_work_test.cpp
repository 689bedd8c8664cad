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
