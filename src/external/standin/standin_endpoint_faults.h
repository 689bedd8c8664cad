#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Faults of a stand-in endpoint. Shares are between 0 and 1 and are drawn for each job; of several, the first in this order applies. */
struct standin_endpoint_faults
{
    double refuse = 0; /**< Answered 503 with Job-Not-Started, not executed. */
    double fail = 0; /**< Started, and answered 500 at once. */
    double hang = 0; /**< Started, never answered; holds its slot until this is set to 0, which closes the connection. */
    double truncateResponses = 0; /**< Executed; half of the body is sent and the connection closed. */
    double wrongRequestIds = 0; /**< Executed; answered with another Request-Id and another body. */
    double surplusResponses = 0; /**< Executed; a second answer follows the first. */
    double lateResponses = 0; /**< Executed; answered lateResponseDelay after the end of the run. */
    duration lateResponseDelay = std::chrono::seconds{2};
    duration addedRunTime{}; /**< Added to every run. */
    bool failHealthChecks = false; /**< GET /health is answered 500. */
    bool isLeaving = false; /**< The state is leaving; jobs are still accepted, and counted. */
};

} // namespace parsleyglade
