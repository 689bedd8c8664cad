#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** How the end of a job counts for its service's budget. Every end has exactly one; all but good spend the budget. */
enum class end_cause : std::uint8_t {
    good,
    refused, /**< Not run. */
    failed, /**< The endpoint answered with a 5xx status. */
    late, /**< Completed after its deadline. */
    outcome_unknown, /**< The job may have run. */
    maintenance, /**< Failed or refused while hosts of the service were draining or moving. */
};

constexpr std::size_t endCauseCount = 6;

/** The name of a cause as it appears in documents, metrics and pages. */
std::string_view name(end_cause cause);

} // namespace parsleyglade
