#pragma once

#include "core/identifiers.h"
#include "core/job_key.h"
#include "core/result_code.h"
#include "core/time_types.h"
#include "jobs/jobs.h"
#include "tables/tables.h"
#include "transport/http_message.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace parsleyglade {

/** Outcome of a job as reported to its caller. */
struct job_outcome
{
    job_state jobState = job_state::none;
    result_code code = result_code::ok;
    std::string reason;
    duration retryAfter{}; /**< Zero selects a random default of 1 to 3 s. */
    http_response response; /**< The endpoint's response, when completed. */
};

/** A job that this entry host has accepted and whose outcome has not been reported yet. */
struct job
{
    std::uint64_t id = 0; /**< Unique in this process. */
    route matchedRoute;
    std::string caller;
    double share = 1.0; /**< @see caller_settings::share */
    caller_id callerId{};
    std::optional<job_key> key;
    std::string requestId;
    http_request request; /**< Request as sent to the endpoint. */
    time_point arrivedAt{};
    time_point deadline{};
    std::optional<attempt_id> attempt; /**< Set for non-idempotent jobs. */
    bool isForwarded = false; /**< Received from another entry host. Such a job is not forwarded again. */
    bool isSent = false;
    bool mayHaveStarted = false; /**< Whether an earlier attempt of an idempotent job may have run. */
    std::function<void(job_outcome)> done; /**< Runs once with the outcome. */
};

} // namespace parsleyglade
