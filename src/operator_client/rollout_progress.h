#pragma once

#include "core/identifiers.h"
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace parsleyglade {

/** Progress of the rollout of a revision to the entry hosts, as of one status document. */
struct rollout_progress
{
    std::size_t entryHosts = 0; /**< Number of entry hosts in the status. */
    std::size_t inForce = 0; /**< Number of entry hosts that have the revision or a newer one. */
    std::vector<std::string> pending; /**< Entry hosts not known to have the revision: name, and in parentheses their revision or that they were not reached. */

    /** Returns true if every entry host has the revision; false if the status lists no entry hosts. */
    bool isComplete() const;

    /** Formats the progress as one line with a progress bar, the counts and the first pending entry hosts. */
    std::string text(revision_number revision) const;

    /** Evaluates the response to GET /v1/status. Entry hosts that could not be reached are pending. */
    static rollout_progress fromStatus(const nlohmann::json &status, revision_number revision);
};

} // namespace parsleyglade
