#include "reports/summarise_service.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace parsleyglade {

namespace {

/** Sums the buckets within the window that ends now. Later buckets, of a clock that is ahead, are counted in the newest one. */
window_burn mergeWindow(const std::vector<const service_counts *> &parts, const burn_window_row &row, wall_time now)
{
    const std::int64_t newest = row.bucketOf(now);
    std::map<std::int64_t, end_counts> merged;
    for (const service_counts *part : parts) {
        for (const count_bucket &each : part->windows.at(static_cast<std::size_t>(row.window))) {
            if (each.bucket > newest - bucketsPerWindow) {
                merged[std::min(each.bucket, newest)].add(each.counts);
            }
        }
    }

    window_burn result;
    for (const auto &[bucket, counts] : merged) {
        result.counts.add(counts);
        result.buckets.push_back({bucket, counts});
    }
    return result;
}

double burnRateOf(const end_counts &counts, double objective)
{
    if (counts.total() == 0) {
        return 0;
    }
    return static_cast<double>(counts.spent()) / static_cast<double>(counts.total()) / (1 - objective);
}

alert_state alertOf(const service_burn &service)
{
    const auto isOver = [&service](burn_window window, double threshold) {
        return service.in(window).burnRate.value_or(0) > threshold;
    };
    if (isOver(burn_window::one_hour, fastBurnRate) && isOver(burn_window::five_minutes, fastBurnRate)) {
        return alert_state::fast;
    }
    const bool isSlow = isOver(burn_window::six_hours, slowBurnRate) && isOver(burn_window::thirty_minutes, slowBurnRate);
    return isSlow ? alert_state::slow : alert_state::none;
}

void computeBudget(service_burn &service, double objective)
{
    for (window_burn &each : service.windows) {
        each.burnRate = burnRateOf(each.counts, objective);
    }

    const end_counts &counts = service.windows.back().counts;
    service.allowedJobs = (1 - objective) * static_cast<double>(counts.total());
    service.remainingShare = counts.total() == 0 ? 1.0 : 1 - static_cast<double>(counts.spent()) / *service.allowedJobs;
    service.alert = alertOf(service);
}

latency_range mergeLatencies(const std::vector<const service_counts *> &parts, std::size_t latencyClass)
{
    latency_range result;
    for (const service_counts *part : parts) {
        const latency_quantiles &each = part->latencies.at(latencyClass);
        if (each.count == 0) {
            continue;
        }
        for (std::size_t index = 0; index < latencyProbabilities.size(); ++index) {
            const double value = each.milliseconds.at(index);
            double &lowest = result.lowest.milliseconds.at(index);
            double &highest = result.highest.milliseconds.at(index);
            lowest = result.count == 0 ? value : std::min(lowest, value);
            highest = std::max(highest, value);
        }
        result.count += each.count;
    }
    result.lowest.count = result.count;
    result.highest.count = result.count;
    return result;
}

std::uint64_t spentWithin(const window_burn &window, std::int64_t first, std::int64_t last)
{
    std::uint64_t result = 0;
    for (const count_bucket &each : window.buckets) {
        result += each.bucket >= first && each.bucket <= last ? each.counts.spent() : 0;
    }
    return result;
}

/**
 * Compares the time after a planned change with the time before it, in the shortest window that covers both. The longest window is used even
 * if it covers the time before only in part. Returns std::nullopt if the change is older than the longest window.
 */
std::optional<burn_coincidence> findCoincidence(const service_burn &service, const planned_change &change, wall_time now)
{
    for (const burn_window_row &row : burnWindowTable) {
        const std::int64_t first = row.bucketOf(change.at);
        const std::int64_t last = row.bucketOf(change.at + coincidenceSpan);
        const std::int64_t before = first - (last - first + 1);
        const std::int64_t oldest = row.bucketOf(now) - bucketsPerWindow + 1;
        const bool isLongest = row.window == burn_window::three_days;
        if (before < oldest && (!isLongest || first < oldest)) {
            continue;
        }

        const window_burn &window = service.in(row.window);
        return burn_coincidence{change, spentWithin(window, before, first - 1), spentWithin(window, first, last), row.bucketLength()};
    }
    return std::nullopt;
}

bool isSignificantRise(const burn_coincidence &each)
{
    const auto before = static_cast<double>(each.spentBefore);
    const auto after = static_cast<double>(each.spentAfter);
    return after - before > 2 * std::sqrt(after + before);
}

std::vector<burn_coincidence> findCoincidences(const service_burn &service, const std::vector<planned_change> &plannedChanges, wall_time now)
{
    std::vector<burn_coincidence> result;
    for (const planned_change &change : plannedChanges) {
        if (!change.service.empty() && change.service != service.service) {
            continue;
        }
        const std::optional<burn_coincidence> found = findCoincidence(service, change, now);
        if (found && isSignificantRise(*found)) {
            result.push_back(*found);
        }
    }

    std::stable_sort(result.begin(), result.end(), [](const burn_coincidence &left, const burn_coincidence &right) {
        return left.spentAfter - left.spentBefore > right.spentAfter - right.spentBefore;
    });
    result.resize(std::min(result.size(), maximumCoincidences));
    return result;
}

} // namespace

service_burn summariseService(const std::string &service, const std::vector<const service_counts *> &parts, std::optional<double> objective,
                              const std::vector<planned_change> &plannedChanges, wall_time now)
{
    service_burn result;
    result.service = service;
    result.objective = objective;
    for (const burn_window_row &row : burnWindowTable) {
        result.windows.at(static_cast<std::size_t>(row.window)) = mergeWindow(parts, row, now);
    }
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        result.latencies.at(index) = mergeLatencies(parts, index);
    }
    if (objective) {
        computeBudget(result, *objective);
    }
    result.coincidences = findCoincidences(result, plannedChanges, now);
    return result;
}

} // namespace parsleyglade
