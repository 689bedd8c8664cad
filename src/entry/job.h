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

/** What a caller is told about its job. */
struct job_outcome
{
    job_answer answer = job_answer::none;
    result_code code = result_code::ok;
    std::string reason;
    duration retryAfter{}; /**< Zero: the answer's default. */
    http_response response; /**< The endpoint's answer when completed. */
};

/** A job that this entry host has accepted and not yet answered. */
struct job
{
    std::uint64_t id = 0; /**< Unique in this process. */
    route matchedRoute;
    std::string caller;
    double share = 1.0;
    caller_id callerId{};
    std::optional<job_key> key;
    std::string requestId;
    http_request request; /**< As it goes to the endpoint. */
    time_point arrivedAt{};
    time_point deadline{};
    std::optional<attempt_id> attempt; /**< Of a non-idempotent job. */
    bool isForwarded = false; /**< Whether another entry host passed it on; it is not passed on again. */
    bool isSent = false;
    bool mayHaveStarted = false; /**< Whether an earlier try of an idempotent job may have run it. */
    std::function<void(job_outcome)> done;
};

} // namespace parsleyglade
