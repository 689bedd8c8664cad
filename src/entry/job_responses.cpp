#include "entry/job_responses.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <strings.h>

namespace parsleyglade {

namespace {

/** Range of the random retry delay. Spreading the retries keeps callers that were rejected together from returning together. */
constexpr duration shortestRetryAfter = std::chrono::milliseconds{1000};
constexpr duration longestRetryAfter = std::chrono::milliseconds{3000};

constexpr int firstServerErrorStatus = 500;

duration spreadRetryAfter()
{
    static std::mt19937_64 random{std::random_device{}()};
    return duration{std::uniform_int_distribution<std::int64_t>(shortestRetryAfter.count(), longestRetryAfter.count())(random)};
}

/** Whether a later request with the same key can get a different response. */
bool allowsRetry(result_code code)
{
    constexpr std::array statuses{408, 409, 429};
    const int status = describe(code).httpStatus;
    return status >= firstServerErrorStatus || std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

/** Whether this entry host sets the header itself. */
bool isOwnHeader(const std::string &header)
{
    constexpr std::array names{"Request-Id", "Job-State", "Date"};
    return std::any_of(names.begin(), names.end(), [&](const char *name) { return ::strcasecmp(name, header.c_str()) == 0; });
}

http_response describeState(job_state jobState, const job_outcome &outcome, const std::string &requestId, const std::optional<job_key> &key)
{
    const result_code_row &row = describe(outcome.code);
    nlohmann::json body{{"state", name(jobState)},
                        {"code", static_cast<int>(outcome.code)},
                        {"name", row.name},
                        {"reason", outcome.reason.empty() ? std::string(row.remedy) : outcome.reason},
                        {"remedy", row.remedy}};
    http_response response;
    response.status = row.httpStatus;
    response.headers = {{"Content-Type", "application/json"}, {"Job-State", std::string(name(jobState))}};
    if (!requestId.empty()) {
        response.headers.emplace_back("Request-Id", requestId);
        body["requestId"] = requestId;
    }
    if (key) {
        body["key"] = key->text();
    }
    if (allowsRetry(outcome.code)) {
        const duration wait = outcome.retryAfter > duration::zero() ? outcome.retryAfter : spreadRetryAfter();
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
        constexpr std::int64_t millisecondsPerSecond = 1000;
        body["retryAfterMilliseconds"] = milliseconds;
        response.headers.emplace_back("Retry-After", std::to_string((milliseconds + millisecondsPerSecond - 1) / millisecondsPerSecond));
    }
    response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return response;
}

} // namespace

http_response makeJobResponse(const job_outcome &outcome, const std::string &requestId, const std::optional<job_key> &key)
{
    if (outcome.jobState != job_state::completed || outcome.code != result_code::ok) {
        return describeState(outcome.jobState, outcome, requestId, key);
    }

    http_response response;
    response.status = outcome.response.status;
    response.body = outcome.response.body;
    std::copy_if(outcome.response.headers.begin(), outcome.response.headers.end(), std::back_inserter(response.headers),
                 [](const http_header &header) { return !isHopByHop(header.first) && !isOwnHeader(header.first); });
    response.headers.emplace_back("Job-State", std::string(name(job_state::completed)));
    response.headers.emplace_back("Request-Id", requestId);
    return response;
}

http_response makeErrorResponse(result_code code, const std::string &reason, const std::string &requestId)
{
    return describeState(job_state::not_run, {job_state::not_run, code, reason, {}, {}}, requestId, std::nullopt);
}

} // namespace parsleyglade
