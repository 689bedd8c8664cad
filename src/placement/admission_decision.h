#pragma once

#include "core/result_code.h"
#include "core/time_types.h"

namespace parsleyglade {

/** Result of offering a job to an admission_queue. Holds no allocated memory, so that refusals stay cheap under overload. */
struct admission_decision
{
    result_code code = result_code::ok; /**< ok, queue_full, caller_over_limit or deadline_unreachable. */
    duration retryAfter{}; /**< Time after which the caller may retry; zero if the job was accepted. */

    bool isAccepted() const
    {
        return code == result_code::ok;
    }
};

} // namespace parsleyglade
