#include "entry/job_responses.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <set>

using namespace parsleyglade;

// Guards against rejected callers that all retry at the same moment because a response has no retry delay, or the same one for all.
TEST_CASE("every response that allows a retry has a retry delay, and the delays are spread")
{
    std::set<std::string> retryDelays;
    for (const result_code_row &row : resultCodeTable()) {
        const http_response response = makeJobResponse({job_state::outcome_unknown, row.code, {}, {}, {}}, "id", std::nullopt);
        const bool mayChange = row.httpStatus >= 500 || row.httpStatus == 408 || row.httpStatus == 409 || row.httpStatus == 429;
        CAPTURE(row.name);
        CHECK(response.status == row.httpStatus);
        CHECK(findHeader(response.headers, "Retry-After").has_value() == mayChange);
        const auto body = nlohmann::json::parse(response.body);
        CHECK(body["state"] == "outcome-unknown");
        CHECK(body["code"] == static_cast<int>(row.code));
        if (mayChange) {
            CHECK(body["retryAfterMilliseconds"] >= 1000);
            retryDelays.insert(body["retryAfterMilliseconds"].dump());
        }
    }
    CHECK(retryDelays.size() > 10);
}

// Guards against connection headers or a false Job-State of an endpoint that reach the caller.
TEST_CASE("the response of a completed job passes on the endpoint's response")
{
    const http_response endpointResponse{
        201, {{"Content-Type", "text/plain"}, {"Connection", "close"}, {"Job-State", "not-run"}, {"Request-Id", "other"}}, "carved"};
    const http_response response = makeJobResponse({job_state::completed, result_code::ok, {}, {}, endpointResponse}, "id-1", std::nullopt);
    CHECK(response.status == 201);
    CHECK(response.body == "carved");
    CHECK(findHeader(response.headers, "Job-State") == "completed");
    CHECK(findHeader(response.headers, "Request-Id") == "id-1");
    CHECK_FALSE(findHeader(response.headers, "Connection").has_value());

    const http_response notRetained = makeJobResponse({job_state::completed, result_code::answer_not_kept, {}, {}, {}}, "id-1", std::nullopt);
    CHECK(notRetained.status == 410);
    CHECK(findHeader(notRetained.headers, "Job-State") == "completed");
}
