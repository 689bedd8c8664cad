#include "entry/service_report.h"

#include <algorithm>
#include <array>

namespace parsleyglade {

namespace {

/** Jobs with a declared run time of at least this count as long jobs. */
constexpr std::int64_t longRunMilliseconds = 10'000;

latency_class latencyClassOf(const route &matchedRoute)
{
    if (matchedRoute.urgency == urgency::urgent) {
        return latency_class::urgent_job;
    }
    return matchedRoute.declaredRunMilliseconds >= longRunMilliseconds ? latency_class::long_job : latency_class::short_job;
}

metric_sample gauge(std::map<std::string, std::string> labels, double value)
{
    return {std::move(labels), gauge_value{value}};
}

metric_sample counter(std::map<std::string, std::string> labels, double value)
{
    return {std::move(labels), counter_value{value}};
}

} // namespace

service_report::service_report(const admin_context &context)
    : m_context(context)
    , m_recorder(context.settings.entryHost, context.peers.incarnation(), context.loop.wallNow())
{
}

std::string service_report::serviceOf(const std::string &pool) const
{
    const auto found = m_services.find(pool);
    return found == m_services.end() ? pool : found->second;
}

void service_report::jobEnded(const job &ended, const job_outcome &outcome, duration elapsed)
{
    // The entry host that received the request from the caller counts it; counting it here as well would count it twice.
    if (ended.isForwarded) {
        return;
    }

    job_end end;
    end.code = outcome.code;
    end.httpStatus = outcome.response.status;
    end.wasLate = m_context.loop.now() > ended.deadline;
    end.duringMaintenance = isUnderMaintenance(ended.matchedRoute.pool);
    end.latencyClass = latencyClassOf(ended.matchedRoute);
    end.latency = elapsed;
    m_recorder.add(serviceOf(ended.matchedRoute.pool), end, m_context.loop.wallNow());
}

bool service_report::isUnderMaintenance(const std::string &pool) const
{
    const fleet_state &state = m_context.fleet.fold().state();
    if (state.drains.empty() && std::none_of(state.hosts.begin(), state.hosts.end(), [](const auto &item) { return item.second.isLeaving(); })) {
        return false;
    }

    const drain_index drains(state);
    const auto &hosts = m_context.fleet.publishedHosts().hosts;
    return std::any_of(hosts.begin(), hosts.end(), [&](const fleet_host &host) {
        const auto moved = state.hosts.find(host.name);
        const bool isMoving = moved != state.hosts.end() && moved->second.isLeaving();
        return currentPool(state, host) == pool && (isMoving || drains.covers(host));
    });
}

void service_report::tablesChanged()
{
    std::map<std::string, double> objectives;
    m_services.clear();
    for (const pool &published : m_context.configuration.current()->pools().pools()) {
        m_services[published.name] = published.service;
        const auto known = objectives.emplace(published.service, published.availabilityObjective).first;
        known->second = std::max(known->second, published.availabilityObjective);
    }

    const revision_number revision = m_context.configuration.fold().revision();
    const wall_time now = m_context.loop.wallNow();
    m_recorder.setObjectives(revision, objectives, now);
    recordPlannedChange(planned_change_kind::revision, std::to_string(revision), "in force", now.time_since_epoch().count());
}

void service_report::recordPlannedChange(planned_change_kind kind, const std::string &subject, const std::string &text, std::int64_t wallMilliseconds,
                                         const std::string &service)
{
    planned_change added;
    added.at = wall_time{std::chrono::milliseconds{wallMilliseconds}};
    added.kind = kind;
    added.subject = subject;
    added.text = text;
    added.service = service;
    m_recorder.addPlannedChange(std::move(added));
}

void service_report::fleetChanged()
{
    const fleet_state &state = m_context.fleet.fold().state();
    recordDrains(state);
    recordMoves(state);
    recordWaves(state);
}

void service_report::recordDrains(const fleet_state &state)
{
    std::set<std::int64_t> current;
    for (const auto &[id, drain] : state.drains) {
        current.insert(id);
        if (!m_drains.contains(id)) {
            recordPlannedChange(planned_change_kind::drain, drain.subject, "started", drain.wallMilliseconds);
        }
    }
    for (const std::int64_t id : m_drains) {
        if (!current.contains(id)) {
            recordPlannedChange(planned_change_kind::drain, std::to_string(id), "ended", m_context.loop.wallNow().time_since_epoch().count());
        }
    }
    m_drains = std::move(current);
}

void service_report::recordMoves(const fleet_state &state)
{
    for (const auto &[host, assignment] : state.hosts) {
        std::int64_t &lastEpoch = m_moveEpochs[host];
        if (assignment.epoch != lastEpoch) {
            const std::string text = assignment.isLeaving() ? "from " + assignment.pool + " to " + assignment.toPool : "serves " + assignment.pool;
            const std::int64_t at = assignment.isLeaving() ? assignment.startedWallMilliseconds : m_context.loop.wallNow().time_since_epoch().count();
            recordPlannedChange(planned_change_kind::move, host, text, at);
        }
        lastEpoch = assignment.epoch;
    }
}

void service_report::recordWaves(const fleet_state &state)
{
    constexpr std::array<const char *, 5> states{"planned", "running", "paused", "aborted", "finished"};
    for (const auto &[name, wave] : state.waves) {
        std::int64_t &lastVersion = m_waveVersions[name];
        if (wave.version != lastVersion) {
            recordPlannedChange(planned_change_kind::wave, name, states.at(static_cast<std::size_t>(wave.state)), wave.changedWallMilliseconds);
        }
        lastVersion = wave.version;
    }
}

nlohmann::json service_report::document() const
{
    return m_recorder.toJson(m_context.loop.wallNow());
}

burn_summary service_report::summary(const gathered_documents &others) const
{
    burn_report report;
    report.add(m_recorder.document(m_context.loop.wallNow()));
    for (const auto &[entryHost, document] : others) {
        if (document) {
            report.parseAndAdd(entryHost, document->dump());
        } else {
            report.addMissing(entryHost, document.lastReason().reason);
        }
    }
    return report.summary(m_context.loop.wallNow());
}

std::string service_report::metricsPage() const
{
    std::vector<metric> metrics;
    addJobMetrics(metrics);
    addPoolMetrics(metrics);
    addClaimMetrics(metrics);

    const auto &fold = m_context.configuration.fold();
    metrics.push_back({"parsleyglade_configuration_revision", "Configuration revision in force.", {gauge({}, static_cast<double>(fold.revision()))}});
    metrics.push_back(
        {"parsleyglade_log_reachable", "1 if the log has replied recently, otherwise 0.", {gauge({}, m_context.configuration.isLogReachable() ? 1 : 0)}});
    metrics.push_back(
        {"parsleyglade_caller_connections", "Open connections of callers.", {gauge({}, static_cast<double>(m_context.callers.connectionCount()))}});
    metrics.push_back(
        {"parsleyglade_active_jobs", "Jobs accepted by this entry host that have not ended.", {gauge({}, static_cast<double>(m_context.jobs.activeJobs()))}});
    metrics.push_back(
        {"parsleyglade_live_peers", "Connected entry hosts with a recent heartbeat.", {gauge({}, static_cast<double>(m_context.peers.livePeers().size()))}});
    return renderMetrics(metrics);
}

void service_report::addJobMetrics(std::vector<metric> &metrics) const
{
    metric ends{"parsleyglade_job_ends_total", "Ended jobs by service and by how they count towards its objective.", {}};
    std::set<std::string> services;
    for (const auto &[pool, service] : m_services) {
        services.insert(service);
    }
    for (const std::string &service : services) {
        const end_counts totals = m_recorder.totals(service);
        for (std::size_t cause = 0; cause < endCauseCount; ++cause) {
            const auto value = static_cast<end_cause>(cause);
            ends.samples.push_back(counter({{"service", service}, {"end", std::string(name(value))}}, static_cast<double>(totals.of(value))));
        }
    }
    metrics.push_back(std::move(ends));
}

void service_report::addPoolMetrics(std::vector<metric> &metrics) const
{
    metric queued{"parsleyglade_queued_jobs", "Jobs in the pool's queue at this entry host.", {}};
    metric running{"parsleyglade_running_jobs", "Jobs of this entry host that are running on the pool's endpoints.", {}};
    metric usable{"parsleyglade_usable_endpoints", "Endpoints of the pool that accept jobs from this entry host.", {}};
    metric ejected{"parsleyglade_ejected_endpoints", "Ejected endpoints of the pool.", {}};
    for (const auto &row : m_context.jobs.dispatch().status()) {
        queued.samples.push_back(gauge({{"pool", row.pool}}, static_cast<double>(row.queued)));
        running.samples.push_back(gauge({{"pool", row.pool}}, static_cast<double>(row.running)));
        usable.samples.push_back(gauge({{"pool", row.pool}}, static_cast<double>(row.usableEndpoints)));
        ejected.samples.push_back(gauge({{"pool", row.pool}}, static_cast<double>(row.ejectedEndpoints)));
    }
    metrics.insert(metrics.end(), {queued, running, usable, ejected});
}

void service_report::addClaimMetrics(std::vector<metric> &metrics) const
{
    metric appends{"parsleyglade_claim_appends_total", "Appends to the claim stream that this entry host coordinates.", {}};
    metric bytes{"parsleyglade_claim_appended_bytes_total", "Bytes appended to the claim stream.", {}};
    metric open{"parsleyglade_open_claims", "Claims without a result.", {}};
    for (const auto &[stream, streamStatus] : m_context.claims.status()) {
        const std::map<std::string, std::string> labels{{"stream", std::to_string(stream)}};
        appends.samples.push_back(counter(labels, static_cast<double>(streamStatus.appends)));
        bytes.samples.push_back(counter(labels, static_cast<double>(streamStatus.appendedBytes)));
        open.samples.push_back(gauge(labels, static_cast<double>(streamStatus.openClaims)));
    }
    metrics.insert(metrics.end(), {appends, bytes, open});
}

} // namespace parsleyglade
