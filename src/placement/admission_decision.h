#pragma once

#include "core/result_code.h"
#include "core/time_types.h"

namespace parsleyglade {

/** Answer to the offer of a job. A refusal allocates nothing. */
struct admission_decision
{
    result_code code = result_code::ok; /**< ok, queue_full, caller_over_limit or deadline_unreachable. */
    duration retryAfter{}; /**< Zero when accepted. */

    bool isAccepted() const
    {
        return code == result_code::ok;
    }
};

} // namespace parsleyglade
