#pragma once

#include "core/result_code.h"
#include "core/time_types.h"
#include "reports/end_cause.h"
#include "reports/latency_class.h"

#include <optional>

namespace parsleyglade {

/** The end of one job, as observed by the entry host that responded to the caller. */
struct job_end
{
    result_code code = result_code::ok; /**< ok if the complete response of the endpoint was delivered to the caller. */
    int httpStatus = 200; /**< HTTP status of the endpoint's response; used only if code is ok. */
    bool wasLate = false; /**< Whether the response was completed after the job's deadline. */
    bool duringMaintenance = false; /**< Whether hosts of the service were draining or moving. */
    latency_class latencyClass = latency_class::short_job;
    duration latency{0}; /**< From the complete request to the complete response; used only if code is ok. */
};

/**
 * Returns how an ended job is counted. Returns std::nullopt if the end gives no information about the service: for requests that the caller
 * must correct or withdraw, and for repeated requests for a job that is counted on its own. A 5xx status takes precedence over lateness.
 */
std::optional<end_cause> classifyEnd(const job_end &end);

} // namespace parsleyglade
