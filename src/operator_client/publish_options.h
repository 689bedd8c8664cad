#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <string>

namespace parsleyglade {

/** Options of the publish command. */
struct publish_options
{
    revision_number baseRevision = 0; /**< Revision that the tables were edited from; publishing fails if it is not the current one. */
    std::string author; /**< Who makes the change. */
    std::string note; /**< Why the tables are changed. */
    bool wait = false; /**< Wait until every entry host has the revision. */
    duration waitTimeout = std::chrono::seconds{30}; /**< Maximum time to wait, if wait is set. */
    duration pollInterval = std::chrono::milliseconds{200}; /**< Time between two status requests while waiting. */
};

} // namespace parsleyglade
