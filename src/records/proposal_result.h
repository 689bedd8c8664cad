#pragma once

#include "core/failure.h"
#include "core/identifiers.h"

#include <vector>

namespace parsleyglade {

/** What became of a proposal by the order of the log. */
struct proposal_result
{
    bool accepted = false;
    log_offset offset = 0;
    revision_number revision = 0; /**< The proposal's own revision when accepted; otherwise the revision it was refused against. */
    std::vector<failure> failures; /**< Why it was refused; revision_conflict for a base that is not current. */

    friend bool operator==(const proposal_result &, const proposal_result &) = default;
};

} // namespace parsleyglade
