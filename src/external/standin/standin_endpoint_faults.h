#pragma once

#include "core/time_types.h"

namespace parsleyglade {

/** Faults that a stand-in endpoint injects. Probabilities are between 0 and 1 and are drawn for each job in this order; the first hit applies. */
struct standin_endpoint_faults
{
    double refuse = 0; /**< Responds 503 with Job-Not-Started; not executed. */
    double fail = 0; /**< Started; responds 500 at once. */
    double hang = 0; /**< Started without a response; occupies its slot until this is set to 0, which closes the connection. */
    double truncateResponses = 0; /**< Executed; sends half of the body and closes the connection. */
    double wrongRequestIds = 0; /**< Executed; responds with another Request-Id and another body. */
    double surplusResponses = 0; /**< Executed; sends a second response after the first. */
    double lateResponses = 0; /**< Executed; responds lateResponseDelay after the end of the run. */
    duration lateResponseDelay = std::chrono::seconds{2};
    duration addedRunTime{}; /**< Added to every run. */
    bool failHealthChecks = false; /**< GET /health returns 500. */
    bool isLeaving = false; /**< GET /health reports the state "leaving"; jobs are still accepted, and counted. */
};

} // namespace parsleyglade
