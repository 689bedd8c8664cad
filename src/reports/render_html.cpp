#include "reports/burn_chart.h"
#include "reports/burn_summary.h"
#include "reports/html_style.h"
#include "reports/report_text.h"

#include <algorithm>

namespace parsleyglade {

namespace {

std::string cell(const std::string &content)
{
    return "<td>" + content + "</td>";
}

std::string rateText(const std::optional<double> &rate)
{
    return rate ? formatNumber(*rate, *rate < 100 ? 1 : 0) : "–";
}

std::string percent(double share, int digits)
{
    return formatNumber(share * 100, digits) + " %";
}

std::string alertText(const service_burn &service, const std::string &title)
{
    const std::string state(name(service.alert));
    return service.alert == alert_state::none ? "" : "<span class=\"" + state + "\">" + title + state + "</span>";
}

/** Renders the remaining share of the budget as a bar and a percentage. */
std::string budgetCell(const service_burn &service)
{
    if (!service.remainingShare) {
        return cell("–");
    }
    const double width = std::clamp(*service.remainingShare, 0.0, 1.0) * 100;
    return cell("<span class=\"bars\"><svg class=\"bar\" viewBox=\"0 0 100 12\" preserveAspectRatio=\"none\" aria-hidden=\"true\"><rect class=\"left\" width=\""
                + formatNumber(width, 1) + "\" height=\"12\"/><rect class=\"frame\" width=\"100\" height=\"12\"/></svg> " + percent(*service.remainingShare, 1)
                + "</span>");
}

std::string header(const burn_summary &summary)
{
    std::string result = "<h1>Burn report</h1><p>" + formatMinute(summary.at) + " UTC, configuration revision " + std::to_string(summary.revision) + "</p>";
    for (const burn_summary::missing_source &each : summary.missing) {
        result += "<p class=\"missing\">Missing: " + escapeHtml(each.entryHost) + " – " + escapeHtml(each.reason) + "</p>";
    }
    return result;
}

std::string overviewRow(const service_burn &service)
{
    std::string result = "<tr>" + cell(escapeHtml(service.service)) + cell(service.objective ? percent(*service.objective, 3) : "none");
    result += budgetCell(service);
    for (const window_burn &each : service.windows) {
        result += cell(rateText(each.burnRate));
    }
    return result + cell(alertText(service, "")) + "</tr>\n";
}

std::string overview(const burn_summary &summary)
{
    std::string result = "<div class=\"overview\"><table><thead><tr><th>Service</th><th>Objective</th><th>Budget left, 3d</th>";
    for (const burn_window_row &row : burnWindowTable) {
        result += "<th>Burn " + std::string(row.name) + "</th>";
    }
    result += "<th>Alert</th></tr></thead><tbody>\n";
    for (const service_burn &each : summary.services) {
        result += overviewRow(each);
    }
    return result + "</tbody></table></div>\n";
}

std::string charts(const service_burn &service, wall_time at)
{
    std::string result = "<div class=\"columns\">";
    for (const burn_window window : {burn_window::six_hours, burn_window::three_days}) {
        const std::string length(describe(window).name);
        const std::string caption = service.objective ? "Burn rate over " + length + "; dashed: 1, which spends exactly the budget"
                                                      : "Share of ends that were not good over " + length;
        result.append("<figure><figcaption>").append(caption).append("</figcaption>").append(renderBurnChart(service, window, at)).append("</figure>");
    }
    return result + "</div>";
}

std::string spentTable(const service_burn &service)
{
    std::string result = "<table><thead><tr><th>Spent by</th><th>1h</th><th>6h</th><th>3d</th></tr></thead><tbody>";
    const auto row = [&service](const std::string &title, auto count) {
        std::string cells = "<tr>" + cell(title);
        for (const burn_window window : {burn_window::one_hour, burn_window::six_hours, burn_window::three_days}) {
            cells += cell(std::to_string(count(service.in(window).counts)));
        }
        return cells + "</tr>";
    };
    for (std::size_t index = 1; index < endCauseCount; ++index) {
        const auto cause = static_cast<end_cause>(index);
        const std::string key = "<svg class=\"key\" viewBox=\"0 0 10 10\" aria-hidden=\"true\"><rect class=\"" + std::string(name(cause))
            + "\" width=\"10\" height=\"10\"/></svg>";
        result += row(key + std::string(name(cause)), [cause](const end_counts &counts) { return counts.of(cause); });
    }
    result += row("all ends of jobs", [](const end_counts &counts) { return counts.total(); });
    return result + "</tbody></table>";
}

std::string latencyTable(const service_burn &service)
{
    std::string rows;
    for (std::size_t index = 0; index < latencyClassCount; ++index) {
        const latency_range &range = service.latencies.at(index);
        if (range.count == 0) {
            continue;
        }
        rows += "<tr>" + cell(std::string(name(static_cast<latency_class>(index)))) + cell(std::to_string(range.count));
        for (std::size_t quantile = 0; quantile < latencyProbabilities.size(); ++quantile) {
            rows += cell(formatRange(range.lowest.milliseconds.at(quantile), range.highest.milliseconds.at(quantile), "–"));
        }
        rows += "</tr>";
    }
    if (rows.empty()) {
        return {};
    }

    std::string result = "<table><thead><tr><th>Latency, ms</th><th>jobs</th>";
    for (const std::string_view each : latencyQuantileNames) {
        result += "<th>" + std::string(each) + "</th>";
    }
    return result + "</tr></thead><tbody>" + rows + "</tbody></table>";
}

std::string coincidences(const service_burn &service)
{
    if (service.coincidences.empty()) {
        return {};
    }

    std::string result = "<p>Planned changes after which more was spent than before, as numbered in the charts (UTC):</p><ol>";
    for (const burn_coincidence &each : service.coincidences) {
        result += "<li>" + formatMinute(each.change.at) + ' ' + std::string(name(each.change.kind)) + " <b>" + escapeHtml(each.change.subject) + "</b> "
            + escapeHtml(each.change.text) + ": " + std::to_string(each.spentAfter) + " spent after, " + std::to_string(each.spentBefore) + " before</li>";
    }
    return result + "</ol>";
}

std::string section(const service_burn &service, wall_time at)
{
    std::string result = "<section><h2>" + escapeHtml(service.service) + ' ' + alertText(service, "alert: ") + "</h2>";
    if (service.allowedJobs) {
        result += "<p>" + std::to_string(service.in(burn_window::three_days).counts.spent()) + " of " + formatNumber(*service.allowedJobs, 1)
            + " allowed ends spent in 3 days.</p>";
    }
    result += charts(service, at) + "<div class=\"figures\"><div>" + spentTable(service) + "</div><div>" + latencyTable(service) + "</div></div>";
    return result + coincidences(service) + "</section>\n";
}

std::string sources(const burn_summary &summary)
{
    std::string result
        = "<section><h2>Entry hosts</h2><div class=\"overview\"><table><thead><tr><th>Entry host</th><th>counts since (UTC)</th><th>asked at (UTC)</th>"
          "<th>revision</th></tr></thead><tbody>";
    for (const burn_summary::source &each : summary.sources) {
        result += "<tr>" + cell(escapeHtml(each.entryHost)) + cell(formatMinute(each.startedAt)) + cell(formatMinute(each.takenAt))
            + cell(std::to_string(each.revision)) + "</tr>";
    }
    result += "</tbody></table></div><p class=\"weak\">Counts are kept in memory; what an entry host counted before its start is lost. "
              "Latencies are of the last 30 to 60 minutes and are given from the lowest to the highest of an entry host.</p>";
    if (summary.droppedChanges > 0) {
        result += "<p class=\"weak\">Entry hosts dropped " + std::to_string(summary.droppedChanges) + " notes of older planned changes.</p>";
    }
    return result + "</section>\n";
}

} // namespace

std::string renderHtml(const burn_summary &summary)
{
    std::string result = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><meta name=\"viewport\" content=\"width=device-width\">"
                         "<meta http-equiv=\"Content-Security-Policy\" content=\"default-src 'none'; style-src 'unsafe-inline'\">"
                         "<title>Burn report</title><style>";
    result += std::string(htmlStyle) + "</style></head><body>\n" + header(summary) + overview(summary);
    for (const service_burn &each : summary.services) {
        if (each.in(burn_window::three_days).counts.total() > 0) {
            result += section(each, summary.at);
        }
    }
    return result + sources(summary) + "</body></html>\n";
}

} // namespace parsleyglade
