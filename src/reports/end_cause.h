#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** How an ended job is counted in the error budget of its service. All causes except good spend the budget. @see classifyEnd */
enum class end_cause : std::uint8_t {
    good,
    refused, /**< The job was not run. */
    failed, /**< The endpoint responded with a 5xx status. */
    late, /**< Completed after its deadline. */
    outcome_unknown, /**< The job may have run. */
    maintenance, /**< Failed or refused while hosts of the service were draining or moving. */
};

constexpr std::size_t endCauseCount = 6;

/** Returns the name of a cause as it appears in documents, metrics and pages. */
std::string_view name(end_cause cause);

} // namespace parsleyglade
