#pragma once

#include "core/identifiers.h"
#include "reports/service_burn.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** The content of a burn report at one time, for rendering. @see burn_report */
struct burn_summary
{
    /** A process of an entry host whose counts are included in the report. */
    struct source
    {
        std::string entryHost;
        incarnation_id incarnation{};
        wall_time startedAt{}; /**< Start of the process; it has no earlier counts. */
        wall_time takenAt{}; /**< Time at which its document was produced. */
        revision_number revision = 0; /**< Its configuration revision. */
    };

    /** An entry host whose counts are not included. */
    struct missing_source
    {
        std::string entryHost;
        std::string reason;
    };

    wall_time at{};
    revision_number revision = 0; /**< Highest revision of the sources; the objectives are those of this revision. */
    std::vector<source> sources;
    std::vector<missing_source> missing;
    std::vector<service_burn> services; /**< Those with the most severe alert and the least remaining budget first. */
    std::vector<planned_change> plannedChanges; /**< Oldest first. */
    std::uint64_t droppedChanges = 0; /**< Sum over the sources; a change that several entry hosts removed is counted several times. */
};

/** Renders a report as plain text with lines of at most 100 columns. */
std::string renderText(const burn_summary &summary);

/** Renders a report as JSON. */
std::string renderJson(const burn_summary &summary);

/** Renders a report as a self-contained HTML page that loads no other resources. */
std::string renderHtml(const burn_summary &summary);

} // namespace parsleyglade
