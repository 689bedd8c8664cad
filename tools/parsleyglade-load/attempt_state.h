#pragma once

#include "external/http_result.h"

#include <string>
#include <string_view>

namespace parsleyglade {

/** State of a job as its sender knows it at the end of an attempt. The first four are also values of the Job-State header. */
enum class attempt_state {
    completed, /**< The job has run to its end. */
    not_run, /**< The job has not been run. */
    still_running, /**< The job has been started and has not ended. */
    outcome_unknown, /**< The job may have run. */
    no_response, /**< The request was sent and no complete response was received; the job may have run. */
    not_sent, /**< No byte was sent: no connection could be opened, or the maximum number was in use. */
};

/** Name of the state, spelled as in the Job-State header. */
std::string_view name(attempt_state state);

/**
 * State that a response reports. An endpoint that is called directly sends no Job-State header; then a response with Job-Not-Started (429 and 503) means
 * not_run, 200 and 500 mean completed, and all others mean outcome_unknown. An unknown value of the header also means outcome_unknown.
 */
attempt_state stateOf(const http_result &response);

/** Name of the result code in the response's JSON body; without one http-STATUS; the name of the state if there is no response. */
std::string resultCodeName(const http_result &response);

} // namespace parsleyglade
