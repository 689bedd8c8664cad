#pragma once

#include "entry/job.h"
#include "transport/http_message.h"

#include <optional>
#include <string>

namespace parsleyglade {

/** The HTTP answer for a job's outcome: the endpoint's own answer when it completed, a JSON body otherwise. */
http_response makeJobResponse(const job_outcome &outcome, const std::string &requestId, const std::optional<job_key> &key);

/** The HTTP answer for a request that never became a job. */
http_response makeErrorResponse(result_code code, const std::string &reason, const std::string &requestId = {});

} // namespace parsleyglade
