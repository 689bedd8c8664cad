#include "cluster_model.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace parsleyglade {

namespace {

constexpr duration loadInterval = std::chrono::milliseconds{100};
constexpr duration probeInterval = std::chrono::milliseconds{500};
constexpr duration moveInterval = std::chrono::seconds{1};
constexpr duration joinDelay = std::chrono::seconds{2};
constexpr duration lostResponseTimeout = std::chrono::seconds{1};
constexpr duration faultDuration = std::chrono::seconds{15};
constexpr double endpointsPerFaultInterval = 50.0;
/** Probability per report that the delay between two entry hosts changes; at 10 reports a second, about once in five seconds. */
constexpr double delayChangeProbability = 0.02;

} // namespace

void cluster_model::sendLoads(std::uint32_t host)
{
    m_events.add(m_now + loadInterval, event_kind::load_tick, host);
    entry_host &sender = m_hosts[host];
    std::vector<load_report> loads;
    for (std::uint32_t pool = 0; pool < sender.pools.size(); ++pool) {
        if (sender.pools[pool]) {
            sender.pools[pool]->reclassifyRunning(m_now);
            sender.pools[pool]->collectLoads(loads);
            expireQueue(host, pool);
            dispatch(host, pool);
        }
    }

    const double minimum = toSeconds(std::max(m_settings.minimumViewDelay, duration{1}));
    const double maximum = std::max(toSeconds(m_settings.maximumViewDelay), minimum);
    for (std::size_t index = 0; index < sender.peers.size(); ++index) {
        if (std::bernoulli_distribution(delayChangeProbability)(m_random)) {
            const double seconds = minimum * std::pow(maximum / minimum, std::uniform_real_distribution<double>(0.0, 1.0)(m_random));
            sender.delay[index] = std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
        }
        sender.lastDelivery[index] = std::max(sender.lastDelivery[index], m_now + sender.delay[index]);
        if (m_freeMessages.empty()) {
            m_freeMessages.push_back(static_cast<std::uint32_t>(m_messages.size()));
            m_messages.emplace_back();
        }
        const std::uint32_t message = m_freeMessages.back();
        m_freeMessages.pop_back();
        m_messages[message] = {host, sender.peers[index], loads};
        m_events.add(sender.lastDelivery[index], event_kind::load_report_received, message);
    }
}

void cluster_model::receiveLoads(std::uint32_t message)
{
    const load_message &received = m_messages[message];
    entry_host &receiver = m_hosts[received.to];
    for (const load_report &load : received.loads) {
        const std::uint32_t pool = m_endpoints[load.endpoint].pool;
        if (!receiver.pools[pool]) {
            continue;
        }
        if (endpoint_view *view = receiver.pools[pool]->find(load.endpoint)) {
            view->setPeerLoad({incarnation_id{received.from}, load.inFlight, load.longInFlight, m_now});
        }
    }
    m_freeMessages.push_back(message);
    for (std::uint32_t pool = 0; pool < receiver.pools.size(); ++pool) {
        if (receiver.pools[pool]) {
            dispatch(received.to, pool);
        }
    }
}

void cluster_model::probe(std::uint32_t host)
{
    m_events.add(m_now + probeInterval, event_kind::probe_tick, host);
    for (const auto &pool : m_hosts[host].pools) {
        if (!pool) {
            continue;
        }
        for (const std::uint32_t endpoint : pool->localEndpoints()) {
            endpoint_view &view = *pool->find(endpoint);
            const fake_endpoint &probed = m_endpoints[endpoint];
            if (probed.fault != endpoint_fault::dead) {
                view.probeSucceeded(m_now);
            }
            view.setLeaving(probed.isMoving || probed.fault == endpoint_fault::leaving);
        }
    }
}

void cluster_model::startFault()
{
    const double scale = endpointsPerFaultInterval / static_cast<double>(m_endpoints.size());
    std::exponential_distribution<double> interval(1.0 / (toSeconds(m_settings.faultInterval) * scale));
    const auto next = std::chrono::duration_cast<duration>(std::chrono::duration<double>(interval(m_faultRandom)));
    if (m_now + next < time_point{m_settings.arrivalDuration}) {
        m_events.add(m_now + next, event_kind::fault_started);
    }

    constexpr std::array faults{endpoint_fault::dead, endpoint_fault::leaving, endpoint_fault::failing};
    const auto index = static_cast<std::uint32_t>(m_faultRandom() % m_endpoints.size());
    const endpoint_fault fault = faults[m_faultRandom() % faults.size()];
    fake_endpoint &endpoint = m_endpoints[index];
    if (endpoint.fault != endpoint_fault::none || endpoint.isMoving) {
        return;
    }

    endpoint.fault = fault;
    if (fault == endpoint_fault::dead) {
        loseJobs(endpoint);
    }
    m_events.add(m_now + faultDuration, event_kind::fault_ended, index);
}

void cluster_model::endFault(std::uint32_t endpoint)
{
    m_endpoints[endpoint].fault = endpoint_fault::none;
}

void cluster_model::loseJobs(fake_endpoint &endpoint)
{
    endpoint.generation += 1;
    const auto index = static_cast<std::uint32_t>(&endpoint - m_endpoints.data());
    for (const std::uint32_t job : endpoint.running) {
        m_events.add(m_now + lostResponseTimeout, event_kind::job_failed, job, index);
    }
    for (const std::uint32_t job : endpoint.backlog) {
        m_events.add(m_now + lostResponseTimeout, event_kind::job_failed, job, index);
    }
    endpoint.running.clear();
    endpoint.backlog.clear();
}

std::vector<pool_observation> cluster_model::observePools()
{
    std::vector<pool_observation> observations;
    for (std::uint32_t pool = 0; pool < m_deployment.pools.size(); ++pool) {
        observations.push_back({pool, m_deployment.pools[pool].isSpare, {}, 0, 0, m_arrivals[pool]});
        for (const entry_host &host : m_hosts) {
            observations[pool].queued += host.pools[pool] ? host.pools[pool]->queued() : 0;
            observations[pool].inFlight += host.pools[pool] ? host.pools[pool]->inFlight() : 0;
        }
        m_arrivals[pool] = 0;
    }
    for (std::uint32_t index = 0; index < m_endpoints.size(); ++index) {
        const fake_endpoint &endpoint = m_endpoints[index];
        if (!endpoint.isMoving) {
            observations[endpoint.pool].endpoints.push_back(index);
        }
        if (endpoint.isMoving || m_deployment.pools[endpoint.pool].isSpare) {
            m_result.spareHostSeconds += toSeconds(moveInterval);
        }
    }

    return observations;
}

void cluster_model::planMoves()
{
    m_events.add(m_now + moveInterval, event_kind::move_tick);
    const auto observations = observePools();
    for (const host_move &move : m_planner.plan(observations, m_now)) {
        beginMove(move);
    }
}

void cluster_model::beginMove(const host_move &move)
{
    fake_endpoint &endpoint = m_endpoints[move.endpoint];
    if (endpoint.isMoving || endpoint.pool == move.targetPool || endpoint.fault != endpoint_fault::none) {
        return;
    }

    endpoint.isMoving = true;
    endpoint.targetPool = move.targetPool;
    for (const entry_host &host : m_hosts) {
        endpoint_view *view = host.pools[endpoint.pool] ? host.pools[endpoint.pool]->find(move.endpoint) : nullptr;
        if (view != nullptr) {
            view->setLeaving(true);
        }
    }
    m_result.hostMoves += 1;
    scheduleJoinIfDrained(move.endpoint);
}

void cluster_model::scheduleJoinIfDrained(std::uint32_t endpoint)
{
    if (m_endpoints[endpoint].isMoving && m_endpoints[endpoint].isIdle()) {
        m_events.add(m_now + joinDelay, event_kind::move_joined, endpoint);
    }
}

void cluster_model::joinTargetPool(std::uint32_t endpoint)
{
    fake_endpoint &joining = m_endpoints[endpoint];
    setMembership(endpoint, joining.pool, false);
    joining.pool = joining.targetPool;
    joining.isMoving = false;
    setMembership(endpoint, joining.pool, true);
}

void cluster_model::setMembership(std::uint32_t endpoint, std::uint32_t pool, bool isMember)
{
    for (const entry_host &host : m_hosts) {
        if (!host.pools[pool]) {
            continue;
        }
        if (isMember) {
            host.pools[pool]->addEndpoint(endpoint, m_endpoints[endpoint].dataCentre == host.dataCentre, m_now);
        } else if (host.pools[pool]->find(endpoint) != nullptr) {
            host.pools[pool]->removeEndpoint(endpoint, m_now);
        }
    }
}

} // namespace parsleyglade
