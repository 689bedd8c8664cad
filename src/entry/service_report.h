#pragma once

#include "entry/admin_context.h"
#include "entry/document_gatherer.h"
#include "reports/reports.h"

#include <map>
#include <set>
#include <string>

namespace parsleyglade {

/** Counts the ends of jobs by service, notes planned changes beside them, and makes burn reports and metrics of both. */
class service_report
{
public:
    explicit service_report(const admin_context &context);
    service_report(const service_report &) = delete;
    service_report &operator=(const service_report &) = delete;
    ~service_report() = default;

    /** Counts a job that has been answered. */
    void jobEnded(const job &ended, const job_outcome &outcome, duration elapsed);

    /** Takes over the objectives of the configuration in force. */
    void tablesChanged();

    /** Notes drains, moves and waves that are new since the last call. */
    void fleetChanged();

    /** This entry host's counts, for the one that merges them. */
    nlohmann::json document() const;

    /** The report of the deployment, with the entry hosts that could not be asked named. */
    burn_summary summary(const gathered_documents &others) const;

    /** The metrics of this entry host in the text exposition format. */
    std::string metricsPage() const;

private:
    bool isUnderMaintenance(const std::string &pool) const;
    void recordEvent(event_kind kind, const std::string &subject, const std::string &text, std::int64_t wallMilliseconds, const std::string &service = {});
    void recordDrains(const fleet_state &state);
    void recordMoves(const fleet_state &state);
    void recordWaves(const fleet_state &state);
    std::string serviceOf(const std::string &pool) const;
    void addJobMetrics(std::vector<metric> &metrics) const;
    void addPoolMetrics(std::vector<metric> &metrics) const;
    void addClaimMetrics(std::vector<metric> &metrics) const;

    const admin_context &m_context;
    service_recorder m_recorder;
    std::map<std::string, std::string> m_services; /**< By pool. */
    std::set<std::int64_t> m_drains;
    std::map<std::string, std::int64_t> m_moveEpochs;
    std::map<std::string, std::int64_t> m_waveVersions;
};

} // namespace parsleyglade
