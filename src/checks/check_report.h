#pragma once

#include "checks/configuration_check.h"
#include "checks/configuration_difference.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace parsleyglade {

/** A finding with its place in the file. */
struct placed_finding
{
    finding_severity severity = finding_severity::error;
    std::string pointer; /**< JSON pointer (RFC 6901). */
    std::string text;
};

/** Result of the check of one configuration. */
struct check_report
{
    std::int64_t version = 0;
    std::vector<placed_finding> findings;
    std::optional<std::int64_t> inForceVersion; /**< Of the configuration that this one was compared with; nothing if it was not compared. */
    std::vector<entry_difference> differences;

    bool hasErrors() const;
};

/** Returns the report as text with one line for each finding and each difference. */
std::string renderText(const check_report &report);

/** Returns the report as a JSON document. */
std::string renderJson(const check_report &report);

} // namespace parsleyglade
