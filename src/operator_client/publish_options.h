#pragma once

#include "core/identifiers.h"
#include "core/time_types.h"

#include <string>

namespace parsleyglade {

/** What the publish command is told beside the tables. */
struct publish_options
{
    revision_number baseRevision = 0;
    std::string author;
    std::string note;
    bool wait = false; /**< Whether to wait until every entry host has the revision. */
    duration waitTimeout = std::chrono::seconds{30};
    duration pollInterval = std::chrono::milliseconds{200};
};

} // namespace parsleyglade
