#pragma once

#include "entry/admin_context.h"
#include "entry/document_gatherer.h"
#include "reports/reports.h"

#include <map>
#include <set>
#include <string>

namespace parsleyglade {

/** Counts job outcomes by service, records planned changes as events, and produces error budget reports and metrics from both. */
class service_report
{
public:
    explicit service_report(const admin_context &context);
    service_report(const service_report &) = delete;
    service_report &operator=(const service_report &) = delete;
    ~service_report() = default;

    /** Counts a job whose outcome has been reported. Forwarded jobs are skipped. @param elapsed time since the job's arrival */
    void jobEnded(const job &ended, const job_outcome &outcome, duration elapsed);

    /** Updates the availability objectives from the configuration in force. */
    void tablesChanged();

    /** Records events for drains, moves and waves that have changed since the last call. */
    void fleetChanged();

    /** Returns this entry host's counts, for the entry host that merges them into a report. */
    nlohmann::json document() const;

    /** Merges the counts of all entry hosts into the deployment's report. Entry hosts without a document are listed with the reason. */
    burn_summary summary(const gathered_documents &others) const;

    /** Returns this entry host's metrics in the Prometheus text exposition format. */
    std::string metricsPage() const;

private:
    bool isUnderMaintenance(const std::string &pool) const;
    void recordPlannedChange(planned_change_kind kind, const std::string &subject, const std::string &text, std::int64_t wallMilliseconds,
                             const std::string &service = {});
    void recordDrains(const fleet_state &state);
    void recordMoves(const fleet_state &state);
    void recordWaves(const fleet_state &state);
    std::string serviceOf(const std::string &pool) const;
    void addJobMetrics(std::vector<metric> &metrics) const;
    void addPoolMetrics(std::vector<metric> &metrics) const;
    void addClaimMetrics(std::vector<metric> &metrics) const;

    const admin_context &m_context;
    service_recorder m_recorder;
    std::map<std::string, std::string> m_services; /**< Keyed by pool. */
    std::set<std::int64_t> m_drains;
    std::map<std::string, std::int64_t> m_moveEpochs;
    std::map<std::string, std::int64_t> m_waveVersions;
};

} // namespace parsleyglade
