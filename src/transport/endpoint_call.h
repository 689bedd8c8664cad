#pragma once

#include "core/result_code.h"
#include "transport/http_message.h"

#include <string>

namespace parsleyglade {

/** How far a call to an endpoint came, as far as evidence goes. */
enum class call_progress {
    not_sent, /**< No byte was written; the endpoint certainly did not start the job. */
    refused, /**< The endpoint answered that it did not start the job. */
    outcome_unknown, /**< Bytes were written and no whole answer came; the job may have run. */
    responded, /**< The whole answer came. */
};

/** What came of a call to an endpoint. */
struct call_result
{
    call_progress progress = call_progress::outcome_unknown;
    result_code code = result_code::ok; /**< Why it broke, when it did. */
    http_response response; /**< The whole answer, or the refusal. */
};

} // namespace parsleyglade
