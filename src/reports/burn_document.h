#pragma once

#include "core/identifiers.h"
#include "core/outcome.h"
#include "reports/planned_change.h"
#include "reports/service_counts.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

/** What one entry host counted, as it hands it out. */
struct burn_document
{
    std::string entryHost;
    incarnation_id incarnation{};
    wall_time startedAt{}; /**< Ends before this moment were counted by no living process. */
    wall_time takenAt{};
    revision_number revision = 0; /**< Configuration revision that the objectives are from. */
    std::uint64_t droppedChanges = 0; /**< Notes that gave way to newer ones. */
    std::vector<service_counts> services; /**< In the order of their names. */
    std::vector<planned_change> plannedChanges;

    friend bool operator==(const burn_document &, const burn_document &) = default;
};

/** Largest text of a document in bytes. */
constexpr std::size_t maximumBurnDocumentBytes = std::size_t{4} * 1024 * 1024;

/** Largest length of a name or text within a document in bytes. */
constexpr std::size_t maximumReportNameBytes = 128;

/** Limits of the objectives that the tables may ask for. */
constexpr double minimumReportObjective = 0.5;
constexpr double maximumReportObjective = 0.99999;

/** Most services of a document. */
constexpr std::size_t maximumReportServices = 1024;

/** Most notes of a document. */
constexpr std::size_t maximumReportChanges = 256;

/** The document as JSON. The buckets of a window are one text. @see formatBuckets */
nlohmann::json toJson(const burn_document &document);

/** Checks and reads a document's text. Fails with every fault found; never throws. */
outcome<burn_document> parseBurnDocument(std::string_view text);

} // namespace parsleyglade
