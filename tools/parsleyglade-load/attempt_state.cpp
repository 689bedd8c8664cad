#include "attempt_state.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;

} // namespace

std::string_view name(attempt_state state)
{
    switch (state) {
    case attempt_state::completed:
        return "completed";
    case attempt_state::not_run:
        return "not-run";
    case attempt_state::still_running:
        return "still-running";
    case attempt_state::outcome_unknown:
        return "outcome-unknown";
    case attempt_state::no_response:
        return "no-answer";
    case attempt_state::not_sent:
        return "not-sent";
    }
    return "no-answer";
}

attempt_state stateOf(const http_result &response)
{
    if (response.delivery != http_delivery::responded) {
        return response.delivery == http_delivery::not_sent ? attempt_state::not_sent : attempt_state::no_response;
    }

    const std::string_view header = response.header("Job-State");
    for (const auto state : {attempt_state::completed, attempt_state::not_run, attempt_state::still_running, attempt_state::outcome_unknown}) {
        if (header == name(state)) {
            return state;
        }
    }
    if (!header.empty()) {
        return attempt_state::outcome_unknown;
    }

    if (response.header("Job-Not-Started") == "true") {
        return attempt_state::not_run;
    }
    return response.status == statusOk || response.status == statusServerError ? attempt_state::completed : attempt_state::outcome_unknown;
}

std::string resultCodeName(const http_result &response)
{
    if (response.delivery != http_delivery::responded) {
        return std::string(name(stateOf(response)));
    }
    if (!response.body.empty() && response.body.front() == '{') {
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        if (body.is_object() && body.contains("name") && body["name"].is_string()) {
            return body["name"].get<std::string>();
        }
    }
    return "http-" + std::to_string(response.status);
}

} // namespace parsleyglade
