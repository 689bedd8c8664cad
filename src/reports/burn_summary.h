#pragma once

#include "core/identifiers.h"
#include "reports/service_burn.h"

#include <string>
#include <vector>

namespace parsleyglade {

/** A burn report at one moment, ready to be shown. @see burn_report */
struct burn_summary
{
    /** An entry host's process whose counts are in the report. */
    struct source
    {
        std::string entryHost;
        incarnation_id incarnation{};
        wall_time startedAt{}; /**< It counted nothing before. */
        wall_time takenAt{};
        revision_number revision = 0;
    };

    /** An entry host whose counts are missing. */
    struct missing_source
    {
        std::string entryHost;
        std::string reason;
    };

    wall_time at{};
    revision_number revision = 0; /**< The newest revision of the sources; the objectives are from it. */
    std::vector<source> sources;
    std::vector<missing_source> missing;
    std::vector<service_burn> services; /**< Those that need attention first. */
    std::vector<planned_change> plannedChanges; /**< Oldest first. */
    std::uint64_t droppedChanges = 0; /**< Notes that an entry host no longer had; some may be the same events. */
};

/** The report as plain text of at most 100 columns. */
std::string renderText(const burn_summary &summary);

/** The report as JSON. */
std::string renderJson(const burn_summary &summary);

/** The report as one HTML page that fetches nothing. */
std::string renderHtml(const burn_summary &summary);

} // namespace parsleyglade
