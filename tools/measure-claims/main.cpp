#include "load_run.h"
#include "recovery_run.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace parsleyglade::measure;

namespace {

nlohmann::json toJson(const load_result &result)
{
    return {{"jobs", result.jobs},
            {"granted", result.granted},
            {"refused", result.refused},
            {"addedMedianMilliseconds", result.addedMedianMilliseconds},
            {"addedP99Milliseconds", result.addedP99Milliseconds},
            {"appendsPerSecond", result.appendsPerSecond},
            {"refusedAppendsPerSecond", result.refusedAppendsPerSecond},
            {"appendsPerJob", result.appendsPerJob},
            {"bytesPerJob", result.bytesPerJob}};
}

void printLoad(const char *label, const load_result &result)
{
    std::printf("%-20s added p50 %7.1f ms, p99 %7.1f ms; appends %6.1f/s (refused by the log %7.1f/s), %.3f for each job, %5.1f bytes for each job; "
                "jobs %llu, granted %llu, refused %llu\n",
                label, result.addedMedianMilliseconds, result.addedP99Milliseconds, result.appendsPerSecond, result.refusedAppendsPerSecond,
                result.appendsPerJob, result.bytesPerJob, static_cast<unsigned long long>(result.jobs), static_cast<unsigned long long>(result.granted),
                static_cast<unsigned long long>(result.refused));
}

struct recovery_report
{
    std::vector<recovery_result> points;
    linear_fit replay;
    linear_fit snapshot;
    linear_fit encode;
    linear_fit memory;
};

recovery_report measureRecoveries(const std::vector<std::size_t> &counts)
{
    recovery_report report;
    std::vector<double> claims;
    std::vector<double> replay;
    std::vector<double> snapshot;
    std::vector<double> encode;
    std::vector<double> memory;
    for (const std::size_t count : counts) {
        const recovery_result point = measureRecovery(count);
        report.points.push_back(point);
        claims.push_back(static_cast<double>(count));
        replay.push_back(point.replayMilliseconds);
        snapshot.push_back(point.snapshotMilliseconds);
        encode.push_back(point.encodeMilliseconds);
        memory.push_back(point.memoryBytes);
    }
    report.replay = fitLine(claims, replay);
    report.snapshot = fitLine(claims, snapshot);
    report.encode = fitLine(claims, encode);
    report.memory = fitLine(claims, memory);
    return report;
}

void printRecovery(const recovery_report &report)
{
    for (const recovery_result &point : report.points) {
        std::printf("recovery %8zu claims: replay of %zu records %7.1f ms, from a snapshot of %.1f MB %7.1f ms, snapshot made in %6.1f ms, memory %.1f MB\n",
                    point.claims, point.records, point.replayMilliseconds, point.snapshotBytes / 1e6, point.snapshotMilliseconds, point.encodeMilliseconds,
                    point.memoryBytes / 1e6);
    }
    std::printf("slope for each claim: replay %.2f us, from a snapshot %.2f us, making a snapshot %.2f us, memory %.0f bytes\n", report.replay.perClaim * 1000,
                report.snapshot.perClaim * 1000, report.encode.perClaim * 1000, report.memory.perClaim);
}

nlohmann::json toJson(const recovery_report &report)
{
    nlohmann::json points = nlohmann::json::array();
    for (const recovery_result &point : report.points) {
        points.push_back({{"claims", point.claims},
                          {"records", point.records},
                          {"replayMilliseconds", point.replayMilliseconds},
                          {"snapshotMilliseconds", point.snapshotMilliseconds},
                          {"encodeMilliseconds", point.encodeMilliseconds},
                          {"snapshotBytes", point.snapshotBytes},
                          {"memoryBytes", point.memoryBytes}});
    }
    return {{"points", points},
            {"slopes",
             {{"replayMicrosecondsPerClaim", report.replay.perClaim * 1000},
              {"snapshotMicrosecondsPerClaim", report.snapshot.perClaim * 1000},
              {"encodeMicrosecondsPerClaim", report.encode.perClaim * 1000},
              {"memoryBytesPerClaim", report.memory.perClaim}}}};
}

} // namespace

/** Measures the claiming of jobs in virtual time and the recovery of a coordinator in real time. */
int main(int argc, char *argv[])
{
    load_settings settings;
    double callMilliseconds = 5;
    double hopMilliseconds = 1.5;
    int seconds = 60;
    bool isJson = false;
    std::vector<std::size_t> counts{25'000, 50'000, 100'000, 200'000};

    CLI::App app{"Compares group commit of claims with a separate append for each claim and result, and measures the recovery of a coordinator"};
    app.add_option("--jobs-per-second", settings.jobsPerSecond, "Mean arrival rate of a Poisson process");
    app.add_option("--streams", settings.streams, "Number of claim streams");
    app.add_option("--appends-per-second", settings.appendsPerSecond, "Maximum append rate of the log, over all streams");
    app.add_option("--call-milliseconds", callMilliseconds, "Duration of a call to the log");
    app.add_option("--hop-milliseconds", hopMilliseconds, "One-way delay between dispatcher and coordinator");
    app.add_option("--seconds", seconds, "Virtual time during which jobs arrive");
    app.add_option("--seed", settings.seed, "Seed of all random choices of the load");
    app.add_option("--claims", counts, "Numbers of claims for which recovery is measured");
    app.add_flag("--json", isJson, "Print JSON");
    CLI11_PARSE(app, argc, argv);

    settings.callDuration = parsleyglade::duration{static_cast<std::int64_t>(callMilliseconds * 1000)};
    settings.hopDelay = parsleyglade::duration{static_cast<std::int64_t>(hopMilliseconds * 1000)};
    settings.simulatedTime = std::chrono::seconds{seconds};
    const load_result grouped = runGroupCommit(settings);
    const load_result separate = runSeparateAppends(settings);
    const recovery_report recovery = measureRecoveries(counts);

    if (isJson) {
        std::cout << nlohmann::json{{"groupCommit", toJson(grouped)}, {"appendEach", toJson(separate)}, {"recovery", toJson(recovery)}}.dump(2) << std::endl;
    } else {
        std::printf("%.0f jobs/s, %d streams, log limited to %.0f appends/s with %.1f ms a call, %.1f ms one way to the coordinator, seed %llu\n",
                    settings.jobsPerSecond, settings.streams, settings.appendsPerSecond, callMilliseconds, hopMilliseconds,
                    static_cast<unsigned long long>(settings.seed));
        printLoad("group commit", grouped);
        printLoad("one append a job", separate);
        printRecovery(recovery);
    }
    return 0;
}
