#pragma once

#include "core/result_code.h"
#include "core/time_types.h"
#include "reports/end_cause.h"
#include "reports/latency_class.h"

#include <optional>

namespace parsleyglade {

/** The end of one job as the entry host that answered its caller saw it. */
struct job_end
{
    result_code code = result_code::ok; /**< ok when the endpoint's whole answer was delivered. */
    int httpStatus = 200; /**< The endpoint's status; matters only when code is ok. */
    bool wasLate = false; /**< Whether the answer came after the job's deadline. */
    bool duringMaintenance = false; /**< Whether hosts of the service were draining or moving. */
    latency_class latencyClass = latency_class::short_job;
    duration latency{0}; /**< From the whole request to the whole answer; counts only when code is ok. */
};

/**
 * How the end counts. Nothing for ends that say nothing about the service: requests that the caller must correct or withdraw, and
 * repeated requests for a job whose own end counts. A status of 5xx takes precedence over lateness.
 */
std::optional<end_cause> classifyEnd(const job_end &end);

} // namespace parsleyglade
