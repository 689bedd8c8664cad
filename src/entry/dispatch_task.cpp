#include "entry/dispatch_task.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration refreshInterval = std::chrono::milliseconds{100};
constexpr duration checkInterval = std::chrono::milliseconds{50};
constexpr int firstServerErrorStatus = 500;

/** A non-idempotent job may run beyond its deadline for this multiple of its timeout (arrival to deadline) before its outcome is reported as unknown. */
constexpr int runBeyondDeadlineFactor = 4;

duration callTimeout(const job &starting, time_point now)
{
    const duration untilDeadline = std::max<duration>(starting.deadline - now, std::chrono::milliseconds{1});
    if (starting.matchedRoute.idempotent) {
        return untilDeadline;
    }
    return untilDeadline + runBeyondDeadlineFactor * (starting.deadline - starting.arrivedAt);
}

urgency_class urgencyOf(const route &matchedRoute)
{
    return matchedRoute.urgency == urgency::urgent ? urgency_class::urgent : urgency_class::normal;
}

} // namespace

dispatch_task::dispatch_task(event_loop &loop, const entry_settings &settings, peer_task &peers, fleet_task &fleet, endpoint_task &endpoints, listener &owner)
    : m_loop(loop)
    , m_peers(peers)
    , m_fleet(fleet)
    , m_endpoints(endpoints)
    , m_owner(owner)
    , m_dataCentre(settings.dataCentre)
    , m_client(loop, {})
    , m_refreshTimer(loop.every(refreshInterval, [this] { refresh(); }))
    , m_checkTimer(loop.every(checkInterval, [this] { checkDeadlinesAndRunTimes(); }))
{
    m_admission.maximumJobs = settings.maximumQueuedJobs;
    m_admission.maximumJobsOfCaller = settings.maximumQueuedJobsOfCaller;
    m_peers.addListener(this);
}

endpoint_limits dispatch_task::limitsOf(const pool &published) const
{
    endpoint_limits limits;
    limits.slots = static_cast<std::uint32_t>(published.slotsPerHost);
    limits.connections = static_cast<std::uint32_t>(published.connectionsPerHost);
    limits.longJobSlotShare = published.longJobSlotShare;
    return limits;
}

void dispatch_task::setTables(const std::shared_ptr<const tables> &published)
{
    m_addresses.clear();
    for (const pool &entry : published->pools().pools()) {
        auto &state = m_pools[entry.name];
        if (!state) {
            state = std::make_unique<pool_state>(m_admission);
        }
        state->published = entry;
        for (endpoint_view &endpoint : state->endpoints) {
            endpoint.setLimits(limitsOf(entry));
        }
        for (const pool_host &host : entry.hosts) {
            m_addresses[host.host] = host.address;
        }
    }

    // A pool that is no longer published keeps its state until none of its jobs is queued or running.
    std::erase_if(m_pools, [&](const auto &item) {
        const bool isRunning = std::any_of(m_running.begin(), m_running.end(), [&](const auto &run) { return run.second.pool == item.first; });
        return published->pools().findPool(item.first) == nullptr && item.second->queue.isEmpty() && !isRunning;
    });
    refresh();
}

void dispatch_task::refresh()
{
    std::map<std::string, std::string> poolOfHost;
    for (const host_membership &row : m_fleet.memberships()) {
        poolOfHost[row.host] = row.pool;
        updateEndpoint(row);
    }

    removeMovedHosts(poolOfHost);
    for (const auto &[name, state] : m_pools) {
        state->ejector.enforceEjectionLimit(state->endpoints, m_loop.now());
        dispatchQueuedJobs(*state);
    }
}

void dispatch_task::updateEndpoint(const host_membership &row)
{
    const auto found = m_pools.find(row.pool);
    if (found == m_pools.end()) {
        return;
    }

    pool_state &state = *found->second;
    endpoint_view *endpoint = findEndpoint(state, row.host);
    if (endpoint == nullptr) {
        endpoint = &state.endpoints.emplace_back(row.host, limitsOf(state.published));
    }

    const endpoint_observation observation = m_endpoints.observation(row.host);
    endpoint->setDrained(!row.isUsable());
    endpoint->setLeaving(observation.reportsLeaving);
    if (observation.lastSuccessfulProbe) {
        endpoint->probeSucceeded(*observation.lastSuccessfulProbe);
    }
}

void dispatch_task::removeMovedHosts(const std::map<std::string, std::string> &poolOfHost)
{
    for (const auto &[name, state] : m_pools) {
        std::erase_if(state->endpoints, [&, pool = name](const endpoint_view &endpoint) {
            const auto current = poolOfHost.find(endpoint.host());
            return current == poolOfHost.end() || current->second != pool;
        });
    }
}

endpoint_view *dispatch_task::findEndpoint(pool_state &state, const std::string &host)
{
    const auto found = std::find_if(state.endpoints.begin(), state.endpoints.end(), [&](const endpoint_view &view) { return view.host() == host; });
    return found == state.endpoints.end() ? nullptr : &*found;
}

bool dispatch_task::hasEndpoint(const std::string &pool) const
{
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return false;
    }

    const auto &endpoints = found->second->endpoints;
    return std::any_of(endpoints.begin(), endpoints.end(), [now = m_loop.now()](const endpoint_view &view) {
        return !view.isDrained() && !view.isLeaving() && view.hasRecentProbe(now) && !view.ejection().isEjected(now);
    });
}

admission_decision dispatch_task::offer(const std::shared_ptr<job> &offered)
{
    const auto found = m_pools.find(offered->matchedRoute.pool);
    if (found == m_pools.end()) {
        return {result_code::no_endpoint, retryAfter()};
    }

    pool_state &state = *found->second;
    ++state.arrivals;
    const duration declared = std::chrono::milliseconds{offered->matchedRoute.declaredRunMilliseconds};
    const run_time_estimate estimate = state.estimator.estimate(offered->matchedRoute.name, declared, m_loop.now());
    queued_job waiting;
    waiting.id = offered->id;
    waiting.caller = offered->callerId;
    waiting.urgency = urgencyOf(offered->matchedRoute);
    waiting.jobClass = estimate.jobClass;
    waiting.expectedRun = estimate.expected;
    waiting.arrivedAt = offered->arrivedAt;
    waiting.deadline = offered->deadline;

    state.queue.setShare(offered->callerId, offered->share);
    const admission_decision decision = state.queue.offer(waiting, m_loop.now(), m_random);
    if (decision.isAccepted()) {
        m_queued[offered->id] = offered;
        dispatchQueuedJobs(state);
    }
    return decision;
}

bool dispatch_task::cancelQueued(const job &cancelled)
{
    const auto found = m_pools.find(cancelled.matchedRoute.pool);
    return m_queued.erase(cancelled.id) != 0 && found != m_pools.end() && found->second->queue.cancel(cancelled.id);
}

void dispatch_task::requestStop(const job &running, duration timeout)
{
    const auto found = std::find_if(m_running.begin(), m_running.end(), [&](const auto &item) { return item.second.sent->id == running.id; });
    const auto address = found == m_running.end() ? m_addresses.end() : m_addresses.find(found->second.host);
    if (address == m_addresses.end()) {
        return;
    }

    http_request request = running.request;
    request.method = "DELETE";
    request.body.clear();
    m_client.call(address->second, request, running.requestId, timeout, [](const call_result &) {});
}

bool dispatch_task::tryRetry(const job &failed, attempt_evidence evidence)
{
    const auto found = m_pools.find(failed.matchedRoute.pool);
    return found != m_pools.end() && found->second->retries.tryRetry(failed.matchedRoute.idempotent, evidence);
}

duration dispatch_task::retryAfter()
{
    return m_retryAfter.next(0.0, m_random);
}

job_class_set dispatch_task::freeClasses(const pool_state &state) const
{
    job_class_set free{false, false};
    const time_point now = m_loop.now();
    for (const endpoint_view &endpoint : state.endpoints) {
        if (endpoint.acceptsWork(now)) {
            free.shortJobs = free.shortJobs || endpoint.hasSlot(job_class::short_job, now);
            free.longJobs = free.longJobs || endpoint.hasSlot(job_class::long_job, now);
        }
    }
    return free;
}

void dispatch_task::dispatchQueuedJobs(pool_state &state)
{
    while (!state.queue.isEmpty()) {
        const job_class_set free = freeClasses(state);
        const auto next = free.isEmpty() ? std::nullopt : state.queue.takeNext(free, m_loop.now());
        if (!next) {
            return;
        }

        auto node = m_queued.extract(next->id);
        if (node.empty()) {
            continue;
        }

        placement_request request;
        request.jobClass = next->jobClass;
        request.waited = m_loop.now() - next->arrivedAt;
        request.meanRunTimes = {state.estimator.meanRunTime(job_class::short_job), state.estimator.meanRunTime(job_class::long_job)};
        const auto selected = selectEndpoint(state.policy, state.endpoints, request, m_loop.now(), m_random);
        if (!selected) {
            // The placement policy can reject an endpoint that has free slots. The job is queued again and keeps its position, which follows
            // from its arrival time.
            if (state.queue.offer(*next, m_loop.now(), m_random).isAccepted()) {
                m_queued.insert(std::move(node));
            } else {
                m_owner.jobExpired(node.mapped());
            }
            return;
        }
        start(state, *selected, node.mapped(), next->jobClass);
    }
}

void dispatch_task::start(pool_state &state, std::size_t index, const std::shared_ptr<job> &starting, job_class jobClass)
{
    if (!m_owner.mayStart(*starting)) {
        return;
    }

    if (!starting->isSent) {
        state.retries.recordFirstAttempt();
    }
    starting->isSent = true;
    endpoint_view &endpoint = state.endpoints[index];
    endpoint.jobStarted(jobClass);
    m_endpoints.countInFlight(endpoint.host(), 1);

    const std::uint64_t run = m_nextRun++;
    const duration declared = std::chrono::milliseconds{starting->matchedRoute.declaredRunMilliseconds};
    const duration expected = state.estimator.estimate(starting->matchedRoute.name, declared, m_loop.now()).expected;
    m_running[run] = {starting, starting->matchedRoute.pool, endpoint.host(), jobClass, expected, m_loop.now()};

    const auto address = m_addresses.find(endpoint.host());
    const std::string target = address == m_addresses.end() ? std::string() : address->second;
    m_client.call(target, starting->request, starting->requestId, callTimeout(*starting, m_loop.now()),
                  [this, run, alive = std::weak_ptr<bool>(m_alive)](const call_result &result) {
                      if (!alive.expired()) {
                          finish(run, result);
                      }
                  });
}

void dispatch_task::finish(std::uint64_t run, const call_result &result)
{
    auto node = m_running.extract(run);
    if (node.empty()) {
        return;
    }

    const running_job &ended = node.mapped();
    m_endpoints.countInFlight(ended.host, -1);
    const auto found = m_pools.find(ended.pool);
    if (found != m_pools.end()) {
        recordCallResult(*found->second, ended, result);
    }

    m_owner.sendEnded(ended.sent, result);
    if (found != m_pools.end()) {
        dispatchQueuedJobs(*found->second);
    }
}

void dispatch_task::recordCallResult(pool_state &state, const running_job &ended, const call_result &result)
{
    endpoint_view *endpoint = findEndpoint(state, ended.host);
    if (endpoint == nullptr) {
        return;
    }

    endpoint->jobEnded(ended.jobClass);
    const duration elapsed = m_loop.now() - ended.startedAt;
    if (result.progress == call_progress::responded && result.response.status < firstServerErrorStatus) {
        state.estimator.observe(ended.sent->matchedRoute.name, elapsed, m_loop.now());
        state.ejector.succeeded(*endpoint);
        return;
    }

    const auto index = static_cast<std::size_t>(endpoint - state.endpoints.data());
    state.ejector.failed(state.endpoints, index, elapsed, ended.expected, m_loop.now(), m_random);
}

void dispatch_task::checkDeadlinesAndRunTimes()
{
    for (const auto &[name, state] : m_pools) {
        for (const queued_job &expired : state->queue.expire(m_loop.now())) {
            auto node = m_queued.extract(expired.id);
            if (!node.empty()) {
                m_owner.jobExpired(node.mapped());
            }
        }
    }

    for (auto &[run, running] : m_running) {
        reclassify(running);
    }
}

void dispatch_task::reclassify(running_job &running)
{
    const auto found = m_pools.find(running.pool);
    if (running.jobClass != job_class::short_job || found == m_pools.end()) {
        return;
    }

    const duration elapsed = m_loop.now() - running.startedAt;
    if (found->second->estimator.classOf(elapsed) == job_class::short_job) {
        return;
    }

    // A job that was classified as short but runs for longer must not occupy a slot reserved for short jobs.
    found->second->estimator.observeRunning(running.sent->matchedRoute.name, elapsed, m_loop.now());
    if (endpoint_view *endpoint = findEndpoint(*found->second, running.host)) {
        endpoint->jobBecameLong();
    }
    running.jobClass = job_class::long_job;
}

std::vector<wire::endpoint_load> dispatch_task::loads() const
{
    std::vector<wire::endpoint_load> loads;
    for (const auto &[name, state] : m_pools) {
        for (const endpoint_view &endpoint : state->endpoints) {
            if (endpoint.ownInFlight() == 0) {
                continue;
            }
            wire::endpoint_load load;
            load.host = endpoint.host();
            load.inFlight = static_cast<std::int32_t>(endpoint.ownInFlight());
            load.longInFlight = static_cast<std::int32_t>(endpoint.ownInFlight(job_class::long_job));
            loads.push_back(std::move(load));
        }
    }
    return loads;
}

void dispatch_task::heartbeatReceived(const peer_state &peer)
{
    if (peer.identity.dataCentre != m_dataCentre) {
        return;
    }

    std::map<std::string, const wire::endpoint_load *> reported;
    for (const wire::endpoint_load &load : peer.heartbeat.loads) {
        reported[load.host] = &load;
    }
    for (const auto &[name, state] : m_pools) {
        for (endpoint_view &endpoint : state->endpoints) {
            const auto found = reported.find(endpoint.host());
            peer_load load;
            load.peer = peer.identity.incarnation;
            load.receivedAt = m_loop.now();
            if (found != reported.end()) {
                load.inFlight = static_cast<std::uint32_t>(std::max(found->second->inFlight, 0));
                load.longInFlight = std::min(load.inFlight, static_cast<std::uint32_t>(std::max(found->second->longInFlight, 0)));
            }
            endpoint.setPeerLoad(load);
        }
    }
}

void dispatch_task::peerReplaced(incarnation_id former)
{
    for (const auto &[name, state] : m_pools) {
        for (endpoint_view &endpoint : state->endpoints) {
            endpoint.removePeer(former);
        }
    }
}

std::vector<dispatch_task::pool_status> dispatch_task::status() const
{
    std::vector<pool_status> rows;
    const time_point now = m_loop.now();
    for (const auto &[name, state] : m_pools) {
        pool_status row{name, state->queue.size(), 0, 0, 0, state->estimator.meanRunTime(job_class::short_job), state->arrivals};
        for (const endpoint_view &endpoint : state->endpoints) {
            row.running += endpoint.ownInFlight();
            row.ejectedEndpoints += endpoint.ejection().isEjected(now) ? 1 : 0;
            row.usableEndpoints += endpoint.acceptsWork(now) ? 1 : 0;
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

} // namespace parsleyglade
