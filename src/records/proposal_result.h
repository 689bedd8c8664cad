#pragma once

#include "core/failure.h"
#include "core/identifiers.h"

#include <vector>

namespace parsleyglade {

/** Whether a proposal was accepted, as determined by the order of records in the log. */
struct proposal_result
{
    bool accepted = false;
    log_offset offset = 0; /**< Offset of the proposal. */
    revision_number revision = 0; /**< The new revision if the proposal was accepted; otherwise the revision that was current when it was refused. */
    std::vector<failure> failures; /**< Why the proposal was refused; revision_conflict if it is not based on the current revision. */

    friend bool operator==(const proposal_result &, const proposal_result &) = default;
};

} // namespace parsleyglade
