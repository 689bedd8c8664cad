#pragma once

#include "reports/bucket_ring.h"
#include "reports/burn_document.h"
#include "reports/job_end.h"
#include "reports/latency_recorder.h"

#include <deque>
#include <map>

namespace parsleyglade {

/**
 * Counts the ended jobs of each service in the process of one entry host.
 *
 * Memory is bounded: each service has a fixed number of buckets for each window and fixed-size quantile estimators, there are at most
 * maximumServices services, and the newest maximumReportChanges planned changes are retained. Ended jobs of further services are counted
 * together as otherServices, so that none is lost. Names are truncated to maximumReportNameBytes; control characters and invalid UTF-8 in
 * them are replaced. Times are wall clock times, passed by the caller.
 */
class service_recorder
{
public:
    /** Maximum number of services, including otherServices. */
    static constexpr std::size_t maximumServices = 512;
    /** Name under which the services above the maximum are counted. */
    static constexpr std::string_view otherServices = "(other services)";

    service_recorder(const std::string &entryHost, incarnation_id incarnation, wall_time startedAt);

    service_recorder(const service_recorder &) = delete;
    service_recorder &operator=(const service_recorder &) = delete;

    /**
     * Sets the availability objectives of an accepted configuration: the required share of good jobs for each service. Objectives are
     * clamped to the range from minimumReportObjective to maximumReportObjective. Services that have no objective any more are removed if
     * none of their jobs ended within three days.
     */
    void setObjectives(revision_number revision, const std::map<std::string, double> &objectives, wall_time now);

    /** Counts an ended job, unless classifyEnd() returns std::nullopt for it. Must be called once for each job. */
    void add(const std::string &service, const job_end &end, wall_time now);

    /** Records a planned change. Removes the oldest one if there are more than maximumReportChanges. */
    void addPlannedChange(planned_change change);

    /** Returns the current counts and planned changes. */
    burn_document document(wall_time now) const;

    /** Returns document() as JSON, for parseBurnDocument() in the process that merges it. */
    nlohmann::json toJson(wall_time now) const;

    /** Returns the counts of a service since the process started, for metrics that must not decrease; zeros for an unknown service. */
    end_counts totals(const std::string &service) const;

private:
    struct service_entry
    {
        std::optional<double> objective;
        std::array<bucket_ring, burnWindowCount> rings;
        std::array<latency_recorder, latencyClassCount> latencies;
        end_counts totals;
    };

    /** Returns the name under which a service is counted: its own or otherServices. */
    std::string nameOf(const std::string &service) const;

    /** Removes the services without an objective and without ended jobs in the longest window. */
    void removeUnused(wall_time now);

    std::string m_entryHost;
    incarnation_id m_incarnation;
    wall_time m_startedAt;
    revision_number m_revision = 0;
    std::map<std::string, service_entry> m_services;
    std::deque<planned_change> m_plannedChanges;
    std::uint64_t m_droppedChanges = 0;
};

} // namespace parsleyglade
