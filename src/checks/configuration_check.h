#pragma once

#include "scheduler/queue_configuration.h"

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** How serious a finding is. */
enum class finding_severity {
    error, /**< An entry can't take effect, or contradicts another. */
    warning, /**< An entry has an effect that is seldom meant. */
};

/** Names of the severities, indexed by enum value. */
constexpr std::array<std::string_view, 2> findingSeverityNames{"error", "warning"};

constexpr std::string_view name(finding_severity severity)
{
    return findingSeverityNames.at(static_cast<std::size_t>(severity));
}

/** List of the configuration that a finding is about. */
enum class configuration_section {
    whole, /**< The configuration itself. */
    queues,
    services,
    teams,
};

/** Field of an entry that a finding is about. */
enum class configuration_field {
    entry, /**< The entry as a whole. */
    version,
    name,
    host,
    path_prefix,
    service,
    maximum_attempts,
    stretch,
    target,
    advice,
    is_public,
    keys,
    weight,
    cap,
    standby,
};

/** One thing that is wrong with a configuration, or likely not meant. */
struct configuration_finding
{
    finding_severity severity = finding_severity::error;
    configuration_section section = configuration_section::whole;
    std::size_t index = 0; /**< Of the entry in its list. */
    configuration_field field = configuration_field::entry;
    std::string text; /**< What is wrong, and a remedy. */
};

/** Checks a configuration. Returns the findings in the order of the entries. */
std::vector<configuration_finding> checkConfiguration(const queue_configuration &configuration);

} // namespace parsleyglade
