#include "reports/metrics_page.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace parsleyglade {

namespace {

bool isNameCharacter(char character, bool isFirst, bool allowsColon)
{
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || character == '_';
    const bool isDigit = character >= '0' && character <= '9';
    return isLetter || (isDigit && !isFirst) || (allowsColon && character == ':');
}

std::string cleanName(const std::string &name, bool allowsColon)
{
    std::string result = name.empty() ? "_" : name;
    for (std::size_t index = 0; index < result.size(); ++index) {
        char &character = result.at(index);
        character = isNameCharacter(character, index == 0, allowsColon) ? character : '_';
    }
    return result;
}

/** Escapes backslashes and line feeds, and in label values double quotes. Replaces invalid UTF-8. */
std::string escape(const std::string &text, bool isLabel)
{
    const std::string encoded = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string result;
    for (const char character : nlohmann::json::parse(encoded).get<std::string>()) {
        if (character == '\n') {
            result += "\\n";
        } else if (character == '\r') {
            result += ' '; // Some parsers treat a carriage return as the end of the line.
        } else {
            result += character == '\\' || (isLabel && character == '"') ? "\\" : "";
            result += character;
        }
    }
    return result;
}

std::string formatValue(double value)
{
    if (std::isnan(value)) {
        return "NaN";
    }
    if (std::isinf(value)) {
        return value > 0 ? "+Inf" : "-Inf";
    }
    return nlohmann::json(value).dump(); // The shortest text that is parsed to the same number.
}

std::string sampleLine(const std::string &name, const std::map<std::string, std::string> &labels, const std::string &value)
{
    std::string list;
    std::set<std::string> names;
    for (const auto &[label, text] : labels) {
        if (const std::string cleaned = cleanName(label, false); names.insert(cleaned).second) {
            list += (list.empty() ? "" : ",") + cleaned + "=\"" + escape(text, true) + '"';
        }
    }
    return name + (list.empty() ? "" : '{' + list + '}') + ' ' + value + '\n';
}

std::string kindOf(const metric_value &value)
{
    static constexpr std::array<const char *, std::variant_size_v<metric_value>> kinds{"counter", "gauge", "summary", "histogram"};
    return kinds.at(value.index());
}

/** Formats the lines of one sample, depending on the type of its value. */
struct sample_writer
{
    const std::string &name;
    const std::map<std::string, std::string> &labels;

    std::string operator()(const counter_value &counter) const
    {
        return sampleLine(name, labels, formatValue(counter.value));
    }

    std::string operator()(const gauge_value &gauge) const
    {
        return sampleLine(name, labels, formatValue(gauge.value));
    }

    std::string operator()(const summary_value &summary) const
    {
        std::string result;
        for (const auto &[probability, value] : summary.quantiles) {
            auto labelled = labels;
            labelled["quantile"] = formatValue(probability);
            result += sampleLine(name, labelled, formatValue(value));
        }
        return result + sampleLine(name + "_sum", labels, formatValue(summary.sum)) + sampleLine(name + "_count", labels, std::to_string(summary.count));
    }

    std::string operator()(const histogram_value &histogram) const
    {
        std::string result;
        auto labelled = labels;
        for (const auto &[bound, count] : histogram.cumulativeCounts) {
            labelled["le"] = formatValue(bound);
            result += sampleLine(name + "_bucket", labelled, std::to_string(count));
        }
        labelled["le"] = "+Inf";
        result += sampleLine(name + "_bucket", labelled, std::to_string(histogram.count));
        return result + sampleLine(name + "_sum", labels, formatValue(histogram.sum)) + sampleLine(name + "_count", labels, std::to_string(histogram.count));
    }
};

} // namespace

std::string renderMetrics(const std::vector<metric> &metrics)
{
    std::string result;
    std::set<std::string> names;
    for (const metric &each : metrics) {
        const std::string name = cleanName(each.name, true);
        if (each.samples.empty() || !names.insert(name).second) {
            continue;
        }

        const metric_value &first = each.samples.front().value;
        result.append("# HELP ").append(name).append(" ").append(escape(each.help, false)).append("\n");
        result.append("# TYPE ").append(name).append(" ").append(kindOf(first)).append("\n");
        for (const metric_sample &sample : each.samples) {
            if (sample.value.index() == first.index()) {
                result += std::visit(sample_writer{name, sample.labels}, sample.value);
            }
        }
    }
    return result;
}

} // namespace parsleyglade
