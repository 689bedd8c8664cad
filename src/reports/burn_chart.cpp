#include "reports/burn_chart.h"

#include "reports/report_text.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace parsleyglade {

namespace {

// Geometry, in the units of the chart's viewBox.
constexpr double chartWidth = 460;
constexpr double chartHeight = 176;
constexpr double plotLeft = 44;
constexpr double plotRight = 452;
constexpr double plotTop = 30;
constexpr double plotBottom = 150;
constexpr double barWidthShare = 0.82; /**< Width of a bar as a share of the width of its bucket. */
constexpr double minimumMarkDistance = 14; /**< Marks that are closer than this share one label, as their numbers would overlap. */

/** Converts times and values to the coordinates of one chart. */
struct chart_scale
{
    const burn_window_row &window;
    std::int64_t oldest; /**< Number of the leftmost bucket. */
    double highest; /**< Value at the top of the plot. */
    double valuePerShare; /**< Factor that converts a share of the ended jobs to the charted value. */

    double x(double bucket) const
    {
        return plotLeft + (bucket - static_cast<double>(oldest)) * (plotRight - plotLeft) / static_cast<double>(bucketsPerWindow);
    }

    double y(double value) const
    {
        return plotBottom - value / highest * (plotBottom - plotTop);
    }

    /** Returns the horizontal position of a time, which may lie inside a bucket. */
    double xOf(wall_time at) const
    {
        return x(static_cast<double>(at.time_since_epoch().count()) / static_cast<double>(window.bucketLength().count()));
    }
};

std::string attribute(const char *name, double value)
{
    return std::string(" ") + name + "=\"" + formatNumber(value, 1) + '"';
}

std::string horizontalLine(double y, const char *styleClass)
{
    return std::string("<line class=\"") + styleClass + '"' + attribute("x1", plotLeft) + attribute("x2", plotRight) + attribute("y1", y) + attribute("y2", y)
        + "/>";
}

std::string text(double x, double y, const char *anchor, const std::string &content)
{
    return "<text" + attribute("x", x) + attribute("y", y) + " text-anchor=\"" + anchor + "\">" + escapeHtml(content) + "</text>";
}

/** Returns the smallest number of the form 1, 2, 3 or 5 times a power of ten that is at least the value. */
double roundUp(double value)
{
    const double power = std::pow(10, std::floor(std::log10(value)));
    for (const double factor : {1.0, 2.0, 3.0, 5.0}) {
        if (factor * power >= value) {
            return factor * power;
        }
    }
    return 10 * power;
}

double chartValue(std::uint64_t ends, const end_counts &counts, double valuePerShare)
{
    return counts.total() == 0 ? 0 : static_cast<double>(ends) / static_cast<double>(counts.total()) * valuePerShare;
}

chart_scale makeScale(const service_burn &service, const burn_window_row &window, wall_time now)
{
    const double valuePerShare = service.objective ? 1 / (1 - *service.objective) : 100;
    double highest = service.objective ? 1 : 10; // The rate 1, which spends exactly the budget, is always visible.
    for (const count_bucket &each : service.in(window.window).buckets) {
        highest = std::max(highest, chartValue(each.counts.spent(), each.counts, valuePerShare));
    }
    return {window, window.bucketOf(now) - bucketsPerWindow + 1, roundUp(highest * 1.05), valuePerShare};
}

std::string axes(const service_burn &service, const chart_scale &scale, wall_time now)
{
    std::string result = horizontalLine(plotBottom, "axis");
    const int digits = scale.highest >= 10 ? 0 : 1;
    for (const double share : {0.0, 0.5, 1.0}) {
        const double value = share * scale.highest;
        result += text(plotLeft - 5, scale.y(value) + 4, "end", formatNumber(value, digits) + (service.objective ? "" : "%"));
        result += share > 0 ? horizontalLine(scale.y(value), "grid") : "";
    }

    if (service.objective) {
        result += horizontalLine(scale.y(1), "limit");
    }

    const bool showsDays = scale.window.length > std::chrono::hours(24);
    const int parts = 3;
    for (int part = 0; part <= parts; ++part) {
        const wall_time at = now - scale.window.length * part / parts;
        const std::string minute = formatMinute(at);
        const char *anchor = part == 0 ? "end" : "middle";
        result += text(part == 0 ? plotRight : scale.xOf(at), plotBottom + 16, anchor, showsDays ? minute.substr(5) : minute.substr(11));
    }
    return result;
}

std::string bars(const service_burn &service, const chart_scale &scale)
{
    std::string result;
    for (const count_bucket &each : service.in(scale.window.window).buckets) {
        double base = 0;
        for (std::size_t index = 1; index < endCauseCount; ++index) {
            const auto cause = static_cast<end_cause>(index);
            const double value = chartValue(each.counts.of(cause), each.counts, scale.valuePerShare);
            if (value > 0) {
                result += "<rect class=\"" + std::string(name(cause)) + '"' + attribute("x", scale.x(static_cast<double>(each.bucket)))
                    + attribute("width", (scale.x(1) - scale.x(0)) * barWidthShare) + attribute("y", scale.y(base + value))
                    + attribute("height", scale.y(base) - scale.y(base + value)) + "/>";
            }
            base += value;
        }
    }
    return result;
}

/** Returns the horizontal positions of the coincidences within the plot, with their numbers. */
std::multimap<double, std::string> findMarks(const service_burn &service, const chart_scale &scale)
{
    std::multimap<double, std::string> result;
    for (std::size_t index = 0; index < service.coincidences.size(); ++index) {
        const double x = scale.xOf(service.coincidences.at(index).change.at);
        if (x >= plotLeft && x <= plotRight) {
            result.emplace(x, std::to_string(index + 1));
        }
    }
    return result;
}

/** Renders a vertical line for each coincidence. Lines that are close together share one label, a list of numbers. */
std::string marks(const service_burn &service, const chart_scale &scale)
{
    std::string result;
    std::string numbers;
    double first = 0;
    for (const auto &[x, number] : findMarks(service, scale)) {
        if (!numbers.empty() && x - first > minimumMarkDistance) {
            result += text(first, plotTop - 7, "middle", numbers);
            numbers.clear();
        }
        first = numbers.empty() ? x : first;
        numbers.append(numbers.empty() ? "" : ",").append(number);
        result += "<line class=\"mark\"" + attribute("x1", x) + attribute("x2", x) + attribute("y1", plotTop - 4) + attribute("y2", plotBottom) + "/>";
    }
    return numbers.empty() ? result : result + text(first, plotTop - 7, "middle", numbers);
}

} // namespace

std::string renderBurnChart(const service_burn &service, burn_window window, wall_time now)
{
    const burn_window_row &row = describe(window);
    const chart_scale scale = makeScale(service, row, now);
    const std::string label = std::string(service.objective ? "Burn rate" : "Share not good") + " of " + service.service + " over " + std::string(row.name);
    return "<svg role=\"img\" viewBox=\"0 0 " + formatNumber(chartWidth, 0) + ' ' + formatNumber(chartHeight, 0) + "\" aria-label=\"" + escapeHtml(label)
        + "\">" + axes(service, scale, now) + bars(service, scale) + marks(service, scale) + "</svg>";
}

} // namespace parsleyglade
