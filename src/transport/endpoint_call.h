#pragma once

#include "core/result_code.h"
#include "transport/http_message.h"

#include <string>

namespace parsleyglade {

/** How far a call to an endpoint is known to have got. Each value states only what the bytes written and received prove. */
enum class call_progress {
    not_sent, /**< No byte was written, so the endpoint certainly did not start the job. */
    refused, /**< The endpoint responded with status 429 or 503 and Job-Not-Started: true, so it did not start the job. */
    outcome_unknown, /**< Bytes were written, but no complete response was received; the job may have run. */
    responded, /**< Any other complete response was received, whatever its status. */
};

/** Result of a call to an endpoint. */
struct call_result
{
    call_progress progress = call_progress::outcome_unknown;
    result_code code = result_code::ok; /**< Reason when there is no complete response; otherwise ok. */
    http_response response; /**< Set when the progress is responded or refused; empty otherwise. */
};

} // namespace parsleyglade
