#include "reports/burn_summary.h"
#include "reports/report_text.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace parsleyglade {

namespace {

constexpr std::size_t lineColumns = 100;
constexpr std::size_t serviceColumns = 22;
constexpr std::size_t rateColumns = 7;
constexpr int barColumns = 12;

std::string alignRight(const std::string &text, std::size_t columns)
{
    return text.size() < columns ? std::string(columns - text.size(), ' ') + text : text;
}

/** Wraps an entry that is wider than the page into further, indented lines, as a truncated number would be read as a different number. */
std::string formatLine(std::string text)
{
    text.resize(text.find_last_not_of(' ') + 1);
    return wrapLines(text, lineColumns, 8);
}

/** Renders a share of the budget as a bar, which is empty for an overspent budget. */
std::string bar(double share)
{
    const int filled = static_cast<int>(std::lround(std::clamp(share, 0.0, 1.0) * barColumns));
    return '[' + std::string(static_cast<std::size_t>(filled), '#') + std::string(static_cast<std::size_t>(barColumns - filled), '.') + ']';
}

std::string percent(double share, int digits)
{
    return share < -9.99 ? "< -999 %" : formatNumber(share * 100, digits) + " %"; // More digits do not fit into the column.
}

std::string rateText(const std::optional<double> &rate)
{
    return rate ? formatNumber(*rate, *rate < 100 ? 1 : 0) : "-";
}

std::string spentText(const end_counts &counts)
{
    std::string result;
    for (std::size_t index = 1; index < endCauseCount; ++index) {
        const auto cause = static_cast<end_cause>(index);
        if (counts.of(cause) > 0) {
            result += (result.empty() ? "" : ", ") + std::string(name(cause)) + ' ' + std::to_string(counts.of(cause));
        }
    }
    return result.empty() ? "nothing" : result;
}

std::string header(const burn_summary &summary)
{
    std::set<std::string> respondingHosts;
    for (const burn_summary::source &each : summary.sources) {
        respondingHosts.insert(each.entryHost);
    }
    std::string result
        = formatLine("Burn report at " + formatMinute(summary.at) + " UTC, configuration revision " + std::to_string(summary.revision) + ", from "
                     + std::to_string(respondingHosts.size()) + " of " + std::to_string(respondingHosts.size() + summary.missing.size()) + " entry hosts");
    for (const burn_summary::missing_source &each : summary.missing) {
        result += formatLine("MISSING " + each.entryHost + ": " + each.reason);
    }
    for (const burn_summary::source &each : summary.sources) {
        if (summary.at - each.startedAt < describe(burn_window::three_days).length) {
            result += formatLine("  " + each.entryHost + " counts since " + formatMinute(each.startedAt) + " UTC; earlier counts of this host are lost");
        }
    }
    return result;
}

std::string columnTitles()
{
    std::string result = fitColumns("service", serviceColumns) + ' ' + alignRight("objective", 9) + "  " + fitColumns("budget left (3d)", barColumns + 11);
    for (const burn_window_row &row : burnWindowTable) {
        result += alignRight(std::string(row.name), rateColumns);
    }
    return formatLine(result + "  alert");
}

std::string serviceLine(const service_burn &service)
{
    std::string result = fitColumns(service.service, serviceColumns) + ' ';
    result += alignRight(service.objective ? percent(*service.objective, 3) : "none", 9) + "  ";
    result += service.remainingShare ? bar(*service.remainingShare) + alignRight(percent(*service.remainingShare, 1), 9) : fitColumns("", barColumns + 11);
    for (const window_burn &each : service.windows) {
        result += alignRight(rateText(each.burnRate), rateColumns);
    }
    return formatLine(result + "  " + (service.alert == alert_state::none ? "" : std::string(name(service.alert))));
}

std::string budgetLine(const service_burn &service)
{
    const end_counts &counts = service.in(burn_window::three_days).counts;
    std::string result = "    3d: " + std::to_string(counts.total()) + " ended, " + std::to_string(counts.spent()) + " spent";
    if (service.allowedJobs) {
        result += " of " + formatNumber(*service.allowedJobs, 1) + " allowed";
    }
    return formatLine(result) + formatLine("    spent by: " + spentText(counts));
}

std::string latencyLine(const service_burn &service, std::size_t index)
{
    const latency_range &range = service.latencies.at(index);
    if (range.count == 0) {
        return {};
    }

    std::string result = "    " + std::string(name(static_cast<latency_class>(index))) + " jobs, ms:";
    for (std::size_t quantile = 0; quantile < latencyProbabilities.size(); ++quantile) {
        result += ' ' + std::string(latencyQuantileNames.at(quantile)) + ' '
            + formatRange(range.lowest.milliseconds.at(quantile), range.highest.milliseconds.at(quantile), "..");
    }
    return formatLine(result + " (" + std::to_string(range.count) + " jobs)");
}

std::string coincidenceLine(const burn_coincidence &each)
{
    const planned_change &change = each.change;
    return formatLine("    " + formatMinute(change.at) + ' ' + std::string(name(change.kind)) + ' ' + change.subject + ' ' + change.text + ": "
                      + std::to_string(each.spentAfter) + " spent after, " + std::to_string(each.spentBefore) + " before");
}

std::string serviceBlock(const service_burn &service)
{
    std::string result = serviceLine(service);
    if (service.in(burn_window::three_days).counts.total() > 0) {
        result += budgetLine(service);
    }
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        result += latencyLine(service, index);
    }
    for (const burn_coincidence &each : service.coincidences) {
        result += coincidenceLine(each);
    }
    return result;
}

} // namespace

std::string renderText(const burn_summary &summary)
{
    std::string result = header(summary) + '\n' + columnTitles();
    for (const service_burn &each : summary.services) {
        result += serviceBlock(each);
    }
    if (summary.services.empty()) {
        result += formatLine("no services are known");
    }
    if (summary.droppedChanges > 0) {
        result += formatLine("entry hosts dropped " + std::to_string(summary.droppedChanges) + " notes of older planned changes");
    }
    return result;
}

} // namespace parsleyglade
