#include "cluster_model.h"

#include "workload.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration loadInterval = std::chrono::milliseconds{100};
constexpr duration probeInterval = std::chrono::milliseconds{500};
constexpr duration moveInterval = std::chrono::seconds{1};
constexpr duration refusalDelay = std::chrono::milliseconds{1};
constexpr duration fastFailureDelay = std::chrono::milliseconds{5};
constexpr duration lostResponseTimeout = std::chrono::seconds{1};

} // namespace

cluster_model::cluster_model(const deployment &model, const workload_settings &settings, const policy_choice &choice, host_move_planner &planner,
                             std::uint64_t seed)
    : m_deployment(model)
    , m_settings(settings)
    , m_choice(choice)
    , m_planner(planner)
    , m_random(seed + 1)
    , m_faultRandom(seed + 2)
    , m_jobs(makeWorkload(model, settings, seed))
    , m_arrivals(model.pools.size(), 0)
    , m_openJobs(m_jobs.size())
{
    makeEndpoints();
    makeEntryHosts();
    scheduleTicks();
}

run_result cluster_model::run()
{
    while (m_openJobs > 0 && !m_events.isEmpty()) {
        const model_event event = m_events.pop();
        m_now = event.time;
        handle(event);
    }

    m_result.unfinished = m_openJobs;
    return std::move(m_result);
}

void cluster_model::makeEndpoints()
{
    for (std::uint32_t pool = 0; pool < m_deployment.pools.size(); ++pool) {
        const auto &counts = m_deployment.pools[pool].endpointsByDataCentre;
        for (std::uint32_t dataCentre = 0; dataCentre < counts.size(); ++dataCentre) {
            for (std::size_t left = counts[dataCentre]; left > 0; --left) {
                fake_endpoint endpoint;
                endpoint.pool = pool;
                endpoint.dataCentre = dataCentre;
                endpoint.slots = m_choice.limits.slots;
                m_endpoints.push_back(endpoint);
            }
        }
    }
}

void cluster_model::makeEntryHosts()
{
    for (std::uint32_t dataCentre = 0; dataCentre < m_deployment.entryHostsByDataCentre.size(); ++dataCentre) {
        const auto first = static_cast<std::uint32_t>(m_hosts.size());
        const auto count = static_cast<std::uint32_t>(m_deployment.entryHostsByDataCentre[dataCentre]);
        for (std::uint32_t index = 0; index < count; ++index) {
            entry_host host;
            host.dataCentre = dataCentre;
            for (std::uint32_t peer = first; peer < first + count; ++peer) {
                if (peer != first + index) {
                    host.peers.push_back(peer);
                }
            }
            host.lastDelivery.resize(host.peers.size());
            host.delay.resize(host.peers.size(), m_settings.minimumViewDelay);
            makeEntryPools(host);
            m_hosts.push_back(std::move(host));
        }
    }
}

void cluster_model::makeEntryPools(entry_host &host)
{
    host.pools.resize(m_deployment.pools.size());
    for (std::uint32_t pool = 0; pool < m_deployment.pools.size(); ++pool) {
        // With a single burst group, a move may bring an endpoint of any pool to any data centre, so entry hosts serve all pools.
        // In larger deployments they serve only the pools that have endpoints in their data centre.
        const bool isServedElsewhere
            = m_deployment.pools.size() > m_deployment.burstGroupSize && m_deployment.pools[pool].endpointsByDataCentre[host.dataCentre] == 0;
        if (isServedElsewhere) {
            continue;
        }
        host.pools[pool] = std::make_unique<entry_pool>(m_choice, m_random());
        for (std::uint32_t index = 0; index < m_endpoints.size(); ++index) {
            if (m_endpoints[index].pool == pool) {
                host.pools[pool]->addEndpoint(index, m_endpoints[index].dataCentre == host.dataCentre, m_now);
            }
        }
    }
}

void cluster_model::scheduleTicks()
{
    if (!m_jobs.empty()) {
        m_events.add(m_jobs.front().arrivedAt, event_kind::arrival, 0);
    }
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        m_events.add(time_point{duration{m_random() % static_cast<std::uint64_t>(loadInterval.count())}}, event_kind::load_tick, host);
        m_events.add(time_point{duration{m_random() % static_cast<std::uint64_t>(probeInterval.count())}}, event_kind::probe_tick, host);
    }
    if (m_settings.faultInterval > duration::zero()) {
        m_events.add(time_point{m_settings.faultInterval / 2}, event_kind::fault_started);
    }
    m_events.add(time_point{moveInterval}, event_kind::move_tick);
}

void cluster_model::handle(const model_event &event)
{
    switch (event.kind) {
    case event_kind::arrival:
        return handleArrival(event.subject);
    case event_kind::caller_retried:
        return route(event.subject);
    case event_kind::job_finished:
        return completeJob(event);
    case event_kind::job_failed:
        return handleFailure(event.subject);
    case event_kind::job_refused:
        return handleRefusal(event.subject);
    case event_kind::load_tick:
        return sendLoads(event.subject);
    case event_kind::load_report_received:
        return receiveLoads(event.subject);
    case event_kind::probe_tick:
        return probe(event.subject);
    case event_kind::fault_started:
        return startFault();
    case event_kind::fault_ended:
        return endFault(event.subject);
    case event_kind::move_tick:
        return planMoves();
    case event_kind::move_joined:
        return joinTargetPool(event.subject);
    }
}

std::optional<std::uint32_t> cluster_model::randomEntryHost(std::uint32_t pool, std::optional<std::uint32_t> excludedDataCentre)
{
    std::vector<std::uint32_t> dataCentres;
    for (std::uint32_t dataCentre = 0; dataCentre < m_deployment.entryHostsByDataCentre.size(); ++dataCentre) {
        if (m_deployment.pools[pool].endpointsByDataCentre[dataCentre] > 0 && excludedDataCentre != dataCentre) {
            dataCentres.push_back(dataCentre);
        }
    }
    if (dataCentres.empty()) {
        return std::nullopt;
    }

    const std::uint32_t dataCentre = dataCentres[m_random() % dataCentres.size()];
    std::vector<std::uint32_t> hosts;
    for (std::uint32_t host = 0; host < m_hosts.size(); ++host) {
        if (m_hosts[host].dataCentre == dataCentre) {
            hosts.push_back(host);
        }
    }

    return hosts[m_random() % hosts.size()];
}

void cluster_model::handleArrival(std::uint32_t job)
{
    model_job &arriving = m_jobs[job];
    if (arriving.isForwarded) {
        return admit(job);
    }

    if (job + 1 < m_jobs.size()) {
        m_events.add(m_jobs[job + 1].arrivedAt, event_kind::arrival, job + 1);
    }
    (arriving.isLong ? m_result.offeredLong : m_result.offeredShort) += 1;
    m_result.offeredUrgent += arriving.urgency == urgency_class::urgent ? 1 : 0;
    m_result.offeredFromQuietCallers += !arriving.isLong && arriving.isInBurst && !arriving.isFromStormingCaller ? 1 : 0;
    m_arrivals[arriving.pool] += 1;
    route(job);
}

void cluster_model::route(std::uint32_t job)
{
    model_job &arriving = m_jobs[job];
    arriving.entryHost = *randomEntryHost(arriving.pool, std::nullopt);

    const entry_host &host = m_hosts[arriving.entryHost];
    if (!host.pools[arriving.pool]->hasUsableEndpoint(m_now)) {
        if (const auto other = randomEntryHost(arriving.pool, host.dataCentre)) {
            arriving.entryHost = *other;
            arriving.isForwarded = true;
            m_events.add(m_now + m_deployment.dataCentreLatency, event_kind::arrival, job);
            return;
        }
    }
    admit(job);
}

void cluster_model::admit(std::uint32_t job)
{
    model_job &admitted = m_jobs[job];
    const admission_decision decision = m_hosts[admitted.entryHost].pools[admitted.pool]->offer(job, admitted, m_now);
    if (!decision.isAccepted()) {
        m_result.refusals[decision.code] += 1;
        if (m_settings.callersRetry && m_now + decision.retryAfter < admitted.deadline) {
            admitted.isForwarded = false;
            m_events.add(m_now + decision.retryAfter, event_kind::caller_retried, job);
            return;
        }
        m_openJobs -= 1;
        return;
    }

    m_hosts[admitted.entryHost].pools[admitted.pool]->countFirstAttempt();
    dispatch(admitted.entryHost, admitted.pool);
}

void cluster_model::dispatch(std::uint32_t host, std::uint32_t pool)
{
    entry_pool &decisions = *m_hosts[host].pools[pool];
    while (decisions.queued() > 0) {
        const auto decision = decisions.sendNext(m_now);
        if (!decision) {
            return;
        }
        deliver(decision->job, decision->endpoint);
    }
}

void cluster_model::deliver(std::uint32_t job, std::uint32_t endpoint)
{
    fake_endpoint &target = m_endpoints[endpoint];
    m_result.sent += 1;
    switch (target.fault) {
    case endpoint_fault::dead:
        return m_events.add(m_now + lostResponseTimeout, event_kind::job_failed, job, endpoint);
    case endpoint_fault::leaving:
        return m_events.add(m_now + refusalDelay, event_kind::job_refused, job, endpoint);
    case endpoint_fault::failing:
        return m_events.add(m_now + fastFailureDelay, event_kind::job_failed, job, endpoint);
    case endpoint_fault::none:
        break;
    }

    if (target.running.size() >= target.slots) {
        target.backlog.push_back(job);
        m_result.sentToFullEndpoint += 1;
        return;
    }
    startJob(job, endpoint);
}

void cluster_model::startJob(std::uint32_t job, std::uint32_t endpoint)
{
    fake_endpoint &target = m_endpoints[endpoint];
    target.running.push_back(job);
    m_jobs[job].startedAt = m_now;
    m_events.add(m_now + m_jobs[job].runTime, event_kind::job_finished, job, endpoint, target.generation);
}

void cluster_model::completeJob(const model_event &event)
{
    fake_endpoint &endpoint = m_endpoints[event.detail];
    if (event.generation != endpoint.generation) {
        return;
    }

    std::erase(endpoint.running, event.subject);
    if (!endpoint.backlog.empty()) {
        const std::uint32_t next = endpoint.backlog.front();
        endpoint.backlog.pop_front();
        startJob(next, event.detail);
    }

    const model_job &job = m_jobs[event.subject];
    m_hosts[job.entryHost].pools[job.pool]->recordOutcome(event.subject, true, m_now);
    recordCompletion(job);
    m_openJobs -= 1;
    scheduleJoinIfDrained(event.detail);
    dispatch(job.entryHost, job.pool);
}

void cluster_model::handleFailure(std::uint32_t job)
{
    const model_job &failed = m_jobs[job];
    m_hosts[failed.entryHost].pools[failed.pool]->recordOutcome(job, false, m_now);
    retryOrEnd(job, attempt_evidence::may_have_started);
}

void cluster_model::handleRefusal(std::uint32_t job)
{
    const model_job &refused = m_jobs[job];
    m_hosts[refused.entryHost].pools[refused.pool]->recordRefusal(job);
    retryOrEnd(job, attempt_evidence::certainly_not_started);
}

void cluster_model::retryOrEnd(std::uint32_t job, attempt_evidence evidence)
{
    const model_job &ended = m_jobs[job];
    entry_pool &decisions = *m_hosts[ended.entryHost].pools[ended.pool];
    if (decisions.tryRetry(ended.isIdempotent, evidence) && decisions.offer(job, ended, m_now).isAccepted()) {
        m_result.retried += 1;
    } else {
        m_result.failed += 1;
        m_openJobs -= 1;
    }
    dispatch(ended.entryHost, ended.pool);
}

void cluster_model::expireQueue(std::uint32_t host, std::uint32_t pool)
{
    const std::size_t expired = m_hosts[host].pools[pool]->expire(m_now).size();
    m_result.expired += expired;
    m_openJobs -= expired;
}

void cluster_model::recordCompletion(const model_job &job)
{
    const double wait = toSeconds(job.startedAt - job.arrivedAt);
    if (job.isLong) {
        m_result.longWaits.push_back(wait);
        m_result.startedLong += 1;
        return;
    }

    m_result.startedShort += 1;
    m_result.shortWaits.push_back(wait);
    if (job.urgency == urgency_class::urgent) {
        m_result.urgentWaits.push_back(wait);
    }
    if (!job.isInBurst) {
        return;
    }
    m_result.burstWaits.push_back(wait);
    (job.isFromStormingCaller ? m_result.stormingCallerWaits : m_result.quietCallerWaits).push_back(wait);
    m_result.startedFromQuietCallers += job.isFromStormingCaller ? 0 : 1;
}

} // namespace parsleyglade
