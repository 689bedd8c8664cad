#include "cycle_run.h"
#include "plan_time.h"
#include "report.h"
#include "spare_run.h"

#include <CLI/CLI.hpp>
#include <future>
#include <iostream>

using namespace parsleyglade;

namespace {

/** Calls the functions, at most the given number at a time, and returns their results in the same order. */
template <typename Result> std::vector<Result> runInParallel(const std::vector<std::function<Result()>> &runs, std::size_t threads)
{
    std::vector<Result> results;
    for (std::size_t first = 0; first < runs.size(); first += threads) {
        std::vector<std::future<Result>> futures;
        for (std::size_t index = first; index < std::min(first + threads, runs.size()); ++index) {
            futures.push_back(std::async(std::launch::async, runs[index]));
        }
        for (auto &future : futures) {
            results.push_back(future.get());
        }
    }
    return results;
}

} // namespace

int main(int argc, char *argv[])
{
    CLI::App options("Measures spare capacity policies and maintenance cycles in virtual time, and the real time taken by a fleet plan.");
    std::uint64_t seeds = 10;
    std::uint64_t firstSeed = 1;
    double seconds = 900;
    std::size_t threads = 4;
    bool json = false;
    bool csv = false;
    std::string only;
    options.add_option("--seeds", seeds, "number of consecutive seeds");
    options.add_option("--first-seed", firstSeed, "first seed");
    options.add_option("--seconds", seconds, "virtual time, in seconds, of each run of a spare policy");
    options.add_option("--threads", threads, "maximum number of concurrent runs");
    options.add_option("--only", only, "kind of measurement to run: spare, cycle or plan; all by default");
    options.add_flag("--json", json, "print JSON");
    options.add_flag("--csv", csv, "print CSV with one line for each run");
    CLI11_PARSE(options, argc, argv);

    std::vector<std::function<spare_result()>> spareRuns;
    std::vector<std::function<cycle_result()>> cycleRuns;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + seeds; ++seed) {
        for (const std::string name : {"hung-phat", "austral-pistas"}) {
            for (const std::string policy : sparePolicies) {
                spareRuns.emplace_back([=] { return runSpare(name, policy, seed, seconds); });
            }
            cycleRuns.emplace_back([=] { return runCycle(makeDeployment(name), seed); });
        }
        cycleRuns.emplace_back([=] { return runCycle(makeFleet(890, 164), seed); });
    }

    measurement results;
    if (only.empty() || only == "spare") {
        results.spare = runInParallel(spareRuns, threads);
    }
    if (only.empty() || only == "cycle") {
        results.cycles = runInParallel(cycleRuns, threads);
    }
    if (only.empty() || only == "plan") {
        results.plans = {measurePlanTime(50, 10, 200), measurePlanTime(300, 55, 200), measurePlanTime(890, 164, 200)};
    }
    std::cout << (json ? toJson(results) : csv ? toCsv(results) : toText(results));
    return 0;
}
