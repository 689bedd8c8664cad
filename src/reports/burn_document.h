#pragma once

#include "core/identifiers.h"
#include "core/outcome.h"
#include "reports/planned_change.h"
#include "reports/service_counts.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

/**
 * The counts of one entry host's process, as sent to the entry host that merges them into a report.
 *
 * startedAt and takenAt are times of the sending host's wall clock.
 * @see service_recorder
 */
struct burn_document
{
    std::string entryHost;
    incarnation_id incarnation{};
    wall_time startedAt{}; /**< Start of the process. Counts of earlier processes of the entry host are lost. */
    wall_time takenAt{}; /**< Time at which the document was produced. */
    revision_number revision = 0; /**< Configuration revision of the objectives. */
    std::uint64_t droppedChanges = 0; /**< Number of planned changes that were removed for newer ones. @see maximumReportChanges */
    std::vector<service_counts> services; /**< In ascending order of their names. */
    std::vector<planned_change> plannedChanges; /**< In the order in which they were recorded. */

    friend bool operator==(const burn_document &, const burn_document &) = default;
};

/** Maximum size of a document's JSON text, in bytes. */
constexpr std::size_t maximumBurnDocumentBytes = std::size_t{4} * 1024 * 1024;

/** Maximum length of a name or text within a document, in bytes. */
constexpr std::size_t maximumReportNameBytes = 128;

/** Bounds of the availability objectives in a document, as shares of good jobs. */
constexpr double minimumReportObjective = 0.5;
constexpr double maximumReportObjective = 0.99999;

/** Maximum number of services in a document. */
constexpr std::size_t maximumReportServices = 1024;

/** Maximum number of planned changes in a document. */
constexpr std::size_t maximumReportChanges = 256;

/** Converts a document to JSON. The buckets of a window become one string. @see formatBuckets */
nlohmann::json toJson(const burn_document &document);

/** Parses and validates the JSON text of a document. Returns all errors that were found; never throws. */
outcome<burn_document> parseBurnDocument(std::string_view text);

} // namespace parsleyglade
