#include "reports/burn_summary.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

using nlohmann::json;

std::int64_t toMilliseconds(wall_time at)
{
    return at.time_since_epoch().count();
}

json toJson(const std::optional<double> &value)
{
    return value ? json(*value) : json(nullptr);
}

json toJson(const end_counts &counts)
{
    json result{{"total", counts.total()}, {"spent", counts.spent()}};
    for (std::size_t index = 0; index < endCauseCount; ++index) {
        const auto cause = static_cast<end_cause>(index);
        result[std::string(name(cause))] = counts.of(cause);
    }
    return result;
}

json toJson(const planned_change &change)
{
    return {{"atMilliseconds", toMilliseconds(change.at)},
            {"kind", name(change.kind)},
            {"subject", change.subject},
            {"text", change.text},
            {"service", change.service}};
}

json toJson(const burn_coincidence &each)
{
    return {
        {"note", toJson(each.change)}, {"spentBefore", each.spentBefore}, {"spentAfter", each.spentAfter}, {"bucketMilliseconds", each.bucketLength.count()}};
}

json toJson(const latency_range &range)
{
    json result{{"count", range.count}};
    for (std::size_t index = 0; index < latencyProbabilities.size(); ++index) {
        result[std::string(latencyQuantileNames.at(index))]
            = {{"lowestMilliseconds", range.lowest.milliseconds.at(index)}, {"highestMilliseconds", range.highest.milliseconds.at(index)}};
    }
    return result;
}

json toJson(const service_burn &service)
{
    json windows = json::object();
    for (const burn_window_row &row : burnWindowTable) {
        const window_burn &window = service.in(row.window);
        windows[std::string(row.name)] = {{"burnRate", toJson(window.burnRate)}, {"counts", toJson(window.counts)}};
    }

    json latencies = json::object();
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        latencies[std::string(name(static_cast<latency_class>(index)))] = toJson(service.latencies.at(index));
    }

    json coincidences = json::array();
    for (const burn_coincidence &each : service.coincidences) {
        coincidences.push_back(toJson(each));
    }

    return {{"service", service.service},
            {"objective", toJson(service.objective)},
            {"allowedJobs", toJson(service.allowedJobs)},
            {"budgetLeftShare", toJson(service.remainingShare)},
            {"alert", name(service.alert)},
            {"windows", std::move(windows)},
            {"latencies", std::move(latencies)},
            {"coincidences", std::move(coincidences)}};
}

} // namespace

std::string renderJson(const burn_summary &summary)
{
    json result{{"atMilliseconds", toMilliseconds(summary.at)},
                {"revision", summary.revision},
                {"notesDropped", summary.droppedChanges},
                {"sources", json::array()},
                {"missing", json::array()},
                {"services", json::array()},
                {"notes", json::array()}};
    for (const burn_summary::source &each : summary.sources) {
        result["sources"].push_back({{"entryHost", each.entryHost},
                                     {"incarnation", static_cast<std::int64_t>(each.incarnation)},
                                     {"startedAtMilliseconds", toMilliseconds(each.startedAt)},
                                     {"takenAtMilliseconds", toMilliseconds(each.takenAt)},
                                     {"revision", each.revision}});
    }
    for (const burn_summary::missing_source &each : summary.missing) {
        result["missing"].push_back({{"entryHost", each.entryHost}, {"reason", each.reason}});
    }
    for (const service_burn &each : summary.services) {
        result["services"].push_back(toJson(each));
    }
    for (const planned_change &each : summary.plannedChanges) {
        result["notes"].push_back(toJson(each));
    }
    return result.dump(2, ' ', false, json::error_handler_t::replace) + '\n';
}

} // namespace parsleyglade
