#include "answer_state.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr int statusOk = 200;
constexpr int statusServerError = 500;

} // namespace

std::string_view name(answer_state state)
{
    switch (state) {
    case answer_state::completed:
        return "completed";
    case answer_state::not_run:
        return "not-run";
    case answer_state::still_running:
        return "still-running";
    case answer_state::outcome_unknown:
        return "outcome-unknown";
    case answer_state::no_answer:
        return "no-answer";
    case answer_state::not_sent:
        return "not-sent";
    }
    return "no-answer";
}

answer_state stateOf(const http_result &answer)
{
    if (answer.delivery != http_delivery::completed) {
        return answer.delivery == http_delivery::not_sent ? answer_state::not_sent : answer_state::no_answer;
    }

    const std::string_view header = answer.header("Job-State");
    for (const auto state : {answer_state::completed, answer_state::not_run, answer_state::still_running, answer_state::outcome_unknown}) {
        if (header == name(state)) {
            return state;
        }
    }
    if (!header.empty()) {
        return answer_state::outcome_unknown;
    }

    if (answer.header("Job-Not-Started") == "true") {
        return answer_state::not_run;
    }
    return answer.status == statusOk || answer.status == statusServerError ? answer_state::completed : answer_state::outcome_unknown;
}

std::string codeOf(const http_result &answer)
{
    if (answer.delivery != http_delivery::completed) {
        return std::string(name(stateOf(answer)));
    }
    if (!answer.body.empty() && answer.body.front() == '{') {
        const auto body = nlohmann::json::parse(answer.body, nullptr, false);
        if (body.is_object() && body.contains("name") && body["name"].is_string()) {
            return body["name"].get<std::string>();
        }
    }
    return "http-" + std::to_string(answer.status);
}

} // namespace parsleyglade
