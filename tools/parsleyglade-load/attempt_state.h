#pragma once

#include "external/http_answer.h"

#include <string>
#include <string_view>

namespace parsleyglade {

/** What the sender of an attempt knows after it. */
enum class attempt_state {
    completed,
    not_run,
    still_running,
    outcome_unknown,
    no_response, /**< The request may have arrived. */
    not_sent, /**< No connection, or too many. */
};

/** The name as in the header Job-State. */
std::string_view name(attempt_state state);

/**
 * The state that an answer gives. Without a Job-State header, as from an endpoint that is called directly, 429 and 503 with
 * Job-Not-Started are not run, 200 and 500 are completed and the rest is unknown.
 */
attempt_state stateOf(const http_answer &response);

/** The name of the result code in the answer's JSON body, else http-STATUS, else the name of the state. */
std::string resultCodeName(const http_answer &response);

} // namespace parsleyglade
