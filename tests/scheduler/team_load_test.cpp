#include "scheduler_run.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace parsleyglade;
using namespace std::chrono_literals;

namespace {

/** 20 teams on 100 executors of which the usual load uses two thirds. */
run_settings hotTeamLoad()
{
    run_settings settings;
    settings.executors = 100;
    settings.loadFactor = 1.6;
    settings.teams = 20;
    settings.rateHeadroom = 1.5;
    settings.length = 10s;
    settings.drain = 10s;
    return settings;
}

duration percentile(std::vector<duration> values, double share)
{
    REQUIRE_FALSE(values.empty());
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

} // namespace

// Load: one team sends seven times its usual beside 19 quiet ones, for more than the pool holds. Guards against quiet teams that wait or are refused because
// of it, and against capacity that stays idle meanwhile.
TEST_CASE("a team that sends seven times its usual delays no other team", "[scheduler]")
{
    const run_report usual = scheduler_run(hotTeamLoad()).measure();
    CHECK(usual.refusedJobs == 0);

    run_settings settings = hotTeamLoad();
    settings.hotFactor = 7.0;
    const run_report hot = scheduler_run(settings).measure();
    CHECK(percentile(hot.quietStartDelays, 0.95) <= 500ms);
    CHECK(hot.refusedQuietJobs == 0);
    CHECK(hot.refusedJobs > 0);
    CHECK(hot.unfinishedJobs == 0);
    CHECK(hot.startedTasks > usual.startedTasks);
}

// Load: 120 teams on 350 executors. Guards against a cost of decisions that grows with the number of teams.
TEST_CASE("the decisions for a task look at no more jobs with 120 teams than without teams", "[scheduler]")
{
    run_settings settings;
    settings.executors = 350;
    settings.length = 5s;
    const run_report without = scheduler_run(settings).measure();
    settings.teams = 120;
    settings.hotShare = 1.0 / 120.0;
    const run_report with = scheduler_run(settings).measure();
    const auto jobVisits = [](const run_report &report) {
        return static_cast<double>(report.counters.jobVisits) / static_cast<double>(report.startedTasks);
    };
    const auto candidateVisits = [](const run_report &report) {
        return static_cast<double>(report.counters.candidateVisits) / static_cast<double>(report.startedTasks);
    };
    CHECK(jobVisits(with) <= jobVisits(without) * 1.1);
    CHECK(candidateVisits(with) <= candidateVisits(without) * 1.1);
}
