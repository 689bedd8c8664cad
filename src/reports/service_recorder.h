#pragma once

#include "reports/bucket_ring.h"
#include "reports/burn_document.h"
#include "reports/job_end.h"
#include "reports/latency_recorder.h"

#include <deque>
#include <map>

namespace parsleyglade {

/**
 * Counts the ends of jobs for each service, in the process of one entry host.
 *
 * Memory is bounded: a service takes a fixed number of buckets for each window and fixed quantile estimators, there are at most
 * maximumServices, and the newest maximumReportChanges notes are kept. Ends of further services count together as otherServices, so that
 * none is lost. Names are cut to maximumReportNameBytes; control characters and invalid UTF-8 in them are replaced.
 */
class service_recorder
{
public:
    static constexpr std::size_t maximumServices = 512;
    static constexpr std::string_view otherServices = "(other services)";

    service_recorder(const std::string &entryHost, incarnation_id incarnation, wall_time startedAt);

    service_recorder(const service_recorder &) = delete;
    service_recorder &operator=(const service_recorder &) = delete;

    /**
     * Takes over the availability objectives of an accepted configuration: the share of good ends for each service. Objectives are held
     * within minimumReportObjective and maximumReportObjective. Services that the configuration no longer names are forgotten when they
     * had no end within three days.
     */
    void setObjectives(revision_number revision, const std::map<std::string, double> &objectives, wall_time now);

    /** Counts the end of a job once, unless classifyEnd() says that it does not concern the service. */
    void add(const std::string &service, const job_end &end, wall_time now);

    /** Keeps a note of a planned change; the oldest note gives way. */
    void addPlannedChange(planned_change change);

    /** What was counted so far. */
    burn_document document(wall_time now) const;

    /** The document as JSON, for parseBurnDocument() of the process that merges it. */
    nlohmann::json toJson(wall_time now) const;

    /** Ends of a service since the process started, for counters that must not fall; zeros for an unknown service. */
    end_counts totals(const std::string &service) const;

private:
    struct service_entry
    {
        std::optional<double> objective;
        std::array<bucket_ring, burnWindowCount> rings;
        std::array<latency_recorder, latencyClassCount> latencies;
        end_counts totals;
    };

    /** The name under which a service counts. */
    std::string nameOf(const std::string &service) const;

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
