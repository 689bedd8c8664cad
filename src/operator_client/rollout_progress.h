#pragma once

#include "core/identifiers.h"
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace parsleyglade {

/** How far a revision has come, read from one status document. */
struct rollout_progress
{
    std::size_t entryHosts = 0;
    std::size_t inForce = 0;
    std::vector<std::string> pending; /**< Each entry host that is not known to have the revision, with what is known of it. */

    /** Whether every entry host has the revision. A status without entry hosts shows nothing. */
    bool isComplete() const;

    /** One line with a bar, the numbers and the pending hosts. */
    std::string text(revision_number revision) const;

    /** Reads GET /v1/status. Hosts that could not be asked are pending. */
    static rollout_progress fromStatus(const nlohmann::json &status, revision_number revision);
};

} // namespace parsleyglade
