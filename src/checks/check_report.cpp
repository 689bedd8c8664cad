#include "checks/check_report.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyglade {

bool check_report::hasErrors() const
{
    return std::any_of(findings.begin(), findings.end(), [](const placed_finding &finding) { return finding.severity == finding_severity::error; });
}

std::string renderText(const check_report &report)
{
    std::string text = "configuration " + std::to_string(report.version) + ": "
        + (report.findings.empty() ? "no findings" : std::to_string(report.findings.size()) + " findings") + '\n';
    for (const placed_finding &finding : report.findings) {
        text += finding.pointer + ": " + std::string(name(finding.severity)) + ": " + finding.text + '\n';
    }
    if (!report.inForceVersion) {
        return text;
    }
    text += "from version " + std::to_string(*report.inForceVersion) + " to this one:" + (report.differences.empty() ? " no differences\n" : "\n");
    for (const entry_difference &difference : report.differences) {
        text += std::string(name(difference.change)) + ' ' + difference.kind + ' ' + difference.name + '\n';
        for (const field_difference &field : difference.fields) {
            text += "    " + field.field + ": " + field.before + " -> " + field.after + '\n';
        }
    }
    return text;
}

std::string renderJson(const check_report &report)
{
    nlohmann::json document{{"version", report.version}, {"findings", nlohmann::json::array()}};
    for (const placed_finding &finding : report.findings) {
        document["findings"].push_back({{"severity", name(finding.severity)}, {"pointer", finding.pointer}, {"text", finding.text}});
    }
    if (report.inForceVersion) {
        document["inForceVersion"] = *report.inForceVersion;
        document["differences"] = nlohmann::json::array();
        for (const entry_difference &difference : report.differences) {
            nlohmann::json entry{
                {"change", name(difference.change)}, {"kind", difference.kind}, {"name", difference.name}, {"fields", nlohmann::json::array()}};
            for (const field_difference &field : difference.fields) {
                entry["fields"].push_back({{"field", field.field}, {"before", field.before}, {"after", field.after}});
            }
            document["differences"].push_back(std::move(entry));
        }
    }
    return document.dump(2) + '\n';
}

} // namespace parsleyglade
