#include "allocation_counter.h"
#include "scheduler_run.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

using namespace parsleyglade;

namespace {

constexpr double microsecondsPerSecond = 1e6;

double percentileMilliseconds(std::vector<duration> delays, double share)
{
    if (delays.empty()) {
        return 0.0;
    }
    std::sort(delays.begin(), delays.end());
    constexpr double millisecondsPerSecond = 1000;
    return toSeconds(delays[static_cast<std::size_t>(share * static_cast<double>(delays.size() - 1))]) * millisecondsPerSecond;
}

void printCost(const char *label, const work_cost &cost, const run_report &report)
{
    const double perTask = cost.seconds * microsecondsPerSecond / static_cast<double>(std::max<std::uint64_t>(report.startedTasks, 1));
    const double perCall = cost.seconds * microsecondsPerSecond / static_cast<double>(std::max<std::uint64_t>(cost.calls, 1));
    std::printf("  %-16s %9llu calls %9.2f us a call %8.2f us a task\n", label, static_cast<unsigned long long>(cost.calls), perCall, perTask);
}

void printReport(const run_settings &settings, const run_report &report)
{
    const auto tasks = static_cast<double>(std::max<std::uint64_t>(report.startedTasks, 1));
    const double total = report.submit.seconds + report.decide.seconds + report.batch.seconds + report.takePolls.seconds + report.pollResponse.seconds
        + report.startResponse.seconds + report.actions.seconds;
    const std::uint64_t allocations = report.submit.allocations + report.decide.allocations + report.batch.allocations + report.takePolls.allocations
        + report.pollResponse.allocations + report.startResponse.allocations + report.actions.allocations;
    std::printf("%d executors, %s, %.0f s: %.1f us a task, %.2f polls a task, %.0f journal bytes a task, %.1f tasks a second, %.3f of a core,"
                " first start after p50 %.0f ms p95 %.0f ms\n",
                settings.executors, settings.bursts ? "bursts" : "calm", toSeconds(settings.length), total * microsecondsPerSecond / tasks,
                static_cast<double>(report.polls) / tasks, static_cast<double>(report.journalBytes) / tasks, tasks / toSeconds(settings.length),
                total / toSeconds(settings.length), percentileMilliseconds(report.startDelays, 0.5), percentileMilliseconds(report.startDelays, 0.95));
    std::printf("  %.1f executors looked at a task, %.1f compared a task, %.1f jobs ranked a task, %.1f allocations a task\n",
                static_cast<double>(report.counters.executorVisits) / tasks, static_cast<double>(report.counters.candidateVisits) / tasks,
                static_cast<double>(report.counters.jobVisits) / tasks, static_cast<double>(allocations) / tasks);
    std::printf("  jobs: %llu accepted, %llu refused, %llu completed, %llu of them late, %llu unfinished\n",
                static_cast<unsigned long long>(report.acceptedJobs), static_cast<unsigned long long>(report.refusedJobs),
                static_cast<unsigned long long>(report.completedJobs), static_cast<unsigned long long>(report.lateJobs),
                static_cast<unsigned long long>(report.unfinishedJobs));
    if (settings.teams > 0) {
        std::printf("  other teams than the first: first start after p50 %.0f ms p95 %.0f ms, %llu refused\n",
                    percentileMilliseconds(report.quietStartDelays, 0.5), percentileMilliseconds(report.quietStartDelays, 0.95),
                    static_cast<unsigned long long>(report.refusedQuietJobs));
    }
    printCost("submit", report.submit, report);
    printCost("decide", report.decide, report);
    printCost("batch", report.batch, report);
    printCost("take polls", report.takePolls, report);
    printCost("poll response", report.pollResponse, report);
    printCost("start response", report.startResponse, report);
    printCost("actions", report.actions, report);
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app{"Measures the processor time that the scheduler spends for each started task, at several sizes of the fleet."};
    std::vector<int> sizes{60, 350, 1100, 3000};
    int seconds = 20;
    run_settings settings;
    settings.allocationCount = allocationCount;
    app.add_option("--executors", sizes, "numbers of executors")->check(CLI::PositiveNumber);
    app.add_option("--seconds", seconds, "simulated time of each measurement")->check(CLI::PositiveNumber);
    app.add_option("--round-share", settings.roundShare, "the leader gets one of so many rounds of decisions")->check(CLI::PositiveNumber);
    app.add_option("--teams", settings.teams, "number of teams that submit the jobs; 0 for none")->check(CLI::NonNegativeNumber);
    app.add_option("--hot-factor", settings.hotFactor, "multiplies the jobs of the first team")->check(CLI::PositiveNumber);
    app.add_option("--load-factor", settings.loadFactor, "multiplies the rate of all jobs")->check(CLI::PositiveNumber);
    app.add_option("--seed", settings.seed, "seed of the run times and demands");
    CLI11_PARSE(app, argc, argv);
    settings.length = std::chrono::seconds{seconds};
    for (const int executors : sizes) {
        for (const bool bursts : {false, true}) {
            settings.executors = executors;
            settings.bursts = bursts;
            printReport(settings, scheduler_run(settings).measure());
        }
    }
    return 0;
}
