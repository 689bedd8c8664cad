#pragma once

#include "entry/job.h"
#include "transport/http_message.h"

#include <optional>
#include <string>

namespace parsleyglade {

/**
 * Builds the HTTP response for a job's outcome: the endpoint's response when the job completed, otherwise a JSON body with state, code,
 * reason and remedy, and a Retry-After header when a retry can give another result.
 */
http_response makeJobResponse(const job_outcome &outcome, const std::string &requestId, const std::optional<job_key> &key);

/** Builds the HTTP error response for a request that was rejected before it became a job. An empty reason is replaced by the code's remedy. */
http_response makeErrorResponse(result_code code, const std::string &reason, const std::string &requestId = {});

} // namespace parsleyglade
