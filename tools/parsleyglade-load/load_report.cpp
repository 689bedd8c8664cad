#include "load_report.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace parsleyglade {

namespace {

using nlohmann::ordered_json;

constexpr double p50Share = 0.5;
constexpr double p99Share = 0.99;

double quantileMilliseconds(const std::vector<duration> &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return std::chrono::duration<double, std::milli>(sorted[std::max<std::size_t>(rank, 1) - 1]).count();
}

ordered_json latencyJson(std::vector<duration> values)
{
    std::sort(values.begin(), values.end());
    return {{"count", values.size()},
            {"p50Milliseconds", quantileMilliseconds(values, p50Share)},
            {"p99Milliseconds", quantileMilliseconds(values, p99Share)},
            {"maximumMilliseconds", quantileMilliseconds(values, 1)}};
}

ordered_json toJson(const load_totals &totals, const std::optional<oracle_report> &oracle)
{
    std::vector<duration> completed = totals.shortLatencies;
    completed.insert(completed.end(), totals.longLatencies.begin(), totals.longLatencies.end());
    const double seconds = std::max(toSeconds(totals.elapsed), 1e-6);

    ordered_json result{
        {"jobs", totals.jobs},
        {"attempts", totals.attempts},
        {"elapsedSeconds", seconds},
        {"completedPerSecond", static_cast<double>(completed.size()) / seconds},
        {"latency",
         {{"completed", latencyJson(completed)},
          {"short", latencyJson(totals.shortLatencies)},
          {"long", latencyJson(totals.longLatencies)},
          {"notCompleted", latencyJson(totals.otherLatencies)}}},
        {"states", totals.states},
        {"codes", totals.codes},
        {"attemptCodes", totals.attemptCodes},
        {"foreignBodies", totals.foreignBodies},
        {"foreignExamples", totals.foreignExamples},
        {"unansweredExamples", totals.unansweredExamples},
    };
    if (oracle) {
        result["oracle"] = {{"keys", oracle->keys},
                            {"executions", oracle->executions},
                            {"executedTwice", oracle->executedTwice},
                            {"completedNotExecuted", oracle->completedNotExecuted},
                            {"notRunExecuted", oracle->notRunExecuted},
                            {"unreachableEndpoints", oracle->unreachableEndpoints},
                            {"examples", oracle->examples}};
    }
    return result;
}

} // namespace

std::string renderJson(const load_totals &totals, const std::optional<oracle_report> &oracle)
{
    return toJson(totals, oracle).dump();
}

std::string renderText(const load_totals &totals, const std::optional<oracle_report> &oracle)
{
    const ordered_json report = toJson(totals, oracle);
    std::ostringstream text;
    text << "jobs " << totals.jobs << ", attempts " << totals.attempts << ", completed per second " << report["completedPerSecond"].get<double>() << '\n';
    for (const auto &[kind, row] : report["latency"].items()) {
        text << "latency of " << kind << " in ms: p50 " << row["p50Milliseconds"].get<double>() << ", p99 " << row["p99Milliseconds"].get<double>() << ", max "
             << row["maximumMilliseconds"].get<double>() << " (" << row["count"].get<std::size_t>() << " jobs)\n";
    }
    for (const char *table : {"states", "codes", "attemptCodes"}) {
        text << table << ':';
        for (const auto &[key, count] : report[table].items()) {
            text << ' ' << key << '=' << count.get<std::uint64_t>();
        }
        text << '\n';
    }
    text << "answers to another request: " << totals.foreignBodies << '\n';
    if (oracle) {
        text << "oracle: keys " << oracle->keys << ", executions " << oracle->executions << ", executed twice " << oracle->executedTwice
             << ", completed but not executed " << oracle->completedNotExecuted << ", not-run but executed " << oracle->notRunExecuted
             << ", unreachable endpoints " << oracle->unreachableEndpoints << '\n';
        for (const std::string &example : oracle->examples) {
            text << "  " << example << '\n';
        }
    }
    return text.str();
}

} // namespace parsleyglade
