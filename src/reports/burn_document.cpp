#include "reports/burn_document.h"

#include "core/json_checker.h"
#include "reports/bucket_text.h"

#include <limits>

namespace parsleyglade {

namespace {

using nlohmann::json;

constexpr std::int64_t formatVersion = 1;
constexpr std::int64_t maximumTimeMilliseconds = 253'402'300'799'999; // End of the year 9999.
constexpr std::int64_t maximumCount = maximumBucketCount;
constexpr std::size_t maximumBucketsTextBytes = bucketsPerWindow * (endCauseCount + 1) * 14; // 14: each number has at most 13 digits and a separator.
constexpr double maximumLatencyMilliseconds = 1e12;

json toJson(const service_counts &counts)
{
    json windows = json::object();
    for (const burn_window_row &row : burnWindowTable) {
        windows[std::string(row.name)] = formatBuckets(counts.windows.at(static_cast<std::size_t>(row.window)));
    }

    json latencies = json::object();
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        const latency_quantiles &quantiles = counts.latencies.at(index);
        latencies[std::string(name(static_cast<latency_class>(index)))] = {{"count", quantiles.count}, {"milliseconds", quantiles.milliseconds}};
    }

    json result{{"service", counts.service}, {"windows", std::move(windows)}, {"latencies", std::move(latencies)}};
    if (counts.objective) {
        result["objective"] = *counts.objective;
    }
    return result;
}

json toJson(const planned_change &change)
{
    return {{"atMilliseconds", change.at.time_since_epoch().count()},
            {"kind", name(change.kind)},
            {"subject", change.subject},
            {"text", change.text},
            {"service", change.service}};
}

std::uint64_t readCount(json_checker checker)
{
    return static_cast<std::uint64_t>(checker.integer(0, maximumCount));
}

wall_time readTime(json_checker checker)
{
    return wall_time(std::chrono::milliseconds(checker.integer(0, maximumTimeMilliseconds)));
}

std::vector<count_bucket> readBuckets(json_checker checker)
{
    if (!checker.exists()) {
        return {}; // The missing key has been reported.
    }

    std::optional<std::vector<count_bucket>> result = parseBuckets(checker.text(0, maximumBucketsTextBytes));
    if (!result) {
        checker.fail(result_code::invalid_value, "the buckets must be well-formed, in ascending order and within one window");
        return {};
    }
    return *std::move(result);
}

latency_quantiles readQuantiles(json_checker checker)
{
    latency_quantiles result;
    if (!checker.checkObject({"count", "milliseconds"})) {
        return result;
    }

    result.count = readCount(checker.member("count"));
    std::vector<json_checker> values = checker.member("milliseconds").elements(result.milliseconds.size(), result.milliseconds.size());
    for (std::size_t index = 0; index < values.size(); ++index) {
        result.milliseconds.at(index) = values.at(index).number(0, maximumLatencyMilliseconds);
    }
    return result;
}

service_counts readService(json_checker checker)
{
    service_counts result;
    if (!checker.checkObject({"service", "windows", "latencies"}, {"objective"})) {
        return result;
    }

    result.service = checker.member("service").text(1, maximumReportNameBytes);
    if (checker.has("objective")) {
        result.objective = checker.member("objective").number(minimumReportObjective, maximumReportObjective);
    }

    json_checker windows = checker.member("windows");
    windows.checkObject({"5m", "30m", "1h", "6h", "3d"});
    for (const burn_window_row &row : burnWindowTable) {
        result.windows.at(static_cast<std::size_t>(row.window)) = readBuckets(windows.member(row.name));
    }

    json_checker latencies = checker.member("latencies");
    latencies.checkObject({"short", "urgent", "long"});
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        result.latencies.at(index) = readQuantiles(latencies.member(name(static_cast<latency_class>(index))));
    }
    return result;
}

planned_change readPlannedChange(json_checker checker)
{
    planned_change result;
    if (!checker.checkObject({"atMilliseconds", "kind", "subject", "text", "service"})) {
        return result;
    }

    result.at = readTime(checker.member("atMilliseconds"));
    const std::string kind = checker.member("kind").oneOf({"wave", "move", "drain", "revision"});
    for (std::size_t index = 0; index < plannedChangeKindCount; ++index) {
        if (kind == name(static_cast<planned_change_kind>(index))) {
            result.kind = static_cast<planned_change_kind>(index);
        }
    }
    result.subject = checker.member("subject").text(0, maximumReportNameBytes);
    result.text = checker.member("text").text(0, maximumReportNameBytes);
    result.service = checker.member("service").text(0, maximumReportNameBytes);
    return result;
}

burn_document readDocument(json_checker checker)
{
    burn_document result;
    if (!checker.checkObject(
            {"version", "entryHost", "incarnation", "startedAtMilliseconds", "takenAtMilliseconds", "revision", "notesDropped", "services", "notes"})) {
        return result;
    }

    checker.member("version").integer(formatVersion, formatVersion);
    result.entryHost = checker.member("entryHost").text(1, maximumReportNameBytes);
    constexpr std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
    constexpr std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
    result.incarnation = incarnation_id{checker.member("incarnation").integer(minimum, maximum)};
    result.startedAt = readTime(checker.member("startedAtMilliseconds"));
    result.takenAt = readTime(checker.member("takenAtMilliseconds"));
    result.revision = static_cast<revision_number>(checker.member("revision").integer(0, maximum));
    result.droppedChanges = readCount(checker.member("notesDropped"));

    for (const json_checker &each : checker.member("services").elements(0, maximumReportServices)) {
        result.services.push_back(readService(each));
        const std::size_t size = result.services.size();
        if (size > 1 && result.services.at(size - 2).service >= result.services.back().service) {
            json_checker(each).fail(result_code::duplicate_name, "the services must be in ascending order of their names, without duplicates");
        }
    }
    for (const json_checker &each : checker.member("notes").elements(0, maximumReportChanges)) {
        result.plannedChanges.push_back(readPlannedChange(each));
    }
    return result;
}

} // namespace

json toJson(const burn_document &document)
{
    json services = json::array();
    for (const service_counts &each : document.services) {
        services.push_back(toJson(each));
    }

    json plannedChanges = json::array();
    for (const planned_change &each : document.plannedChanges) {
        plannedChanges.push_back(toJson(each));
    }

    return {{"version", formatVersion},
            {"entryHost", document.entryHost},
            {"incarnation", static_cast<std::int64_t>(document.incarnation)},
            {"startedAtMilliseconds", document.startedAt.time_since_epoch().count()},
            {"takenAtMilliseconds", document.takenAt.time_since_epoch().count()},
            {"revision", document.revision},
            {"notesDropped", document.droppedChanges},
            {"services", std::move(services)},
            {"notes", std::move(plannedChanges)}};
}

outcome<burn_document> parseBurnDocument(std::string_view text)
{
    const outcome<json> parsed = json_checker::parse(text, maximumBurnDocumentBytes);
    if (!parsed) {
        return parsed.failures();
    }

    std::vector<failure> failures;
    burn_document document = readDocument(json_checker(*parsed, failures));
    if (!failures.empty()) {
        return failures;
    }
    return document;
}

} // namespace parsleyglade
