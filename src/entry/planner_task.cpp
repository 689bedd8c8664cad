#include "entry/planner_task.h"

#include <algorithm>
#include <set>

namespace parsleyglade {

namespace {

constexpr duration planInterval = std::chrono::seconds{1};

/** Time for appended records to be applied. A plan made earlier would be based on a state without them. */
constexpr duration settleTime = std::chrono::seconds{2};

constexpr duration expectedMoveTime = std::chrono::seconds{3};

} // namespace

planner_task::planner_task(event_loop &loop, const entry_settings &settings, peer_task &peers, fleet_task &fleet, endpoint_task &endpoints,
                           dispatch_task &dispatch)
    : m_loop(loop)
    , m_peers(peers)
    , m_fleet(fleet)
    , m_endpoints(endpoints)
    , m_dispatch(dispatch)
    , m_dataCentre(settings.dataCentre)
    , m_movePlanner(move_planner::settings{})
    , m_waveRunner(wave_settings{})
    , m_timer(loop.every(planInterval, [this] { plan(); }))
{
}

std::vector<wire::pool_load> planner_task::poolLoads() const
{
    std::vector<wire::pool_load> loads;
    for (const auto &row : m_dispatch.status()) {
        wire::pool_load load;
        load.pool = row.pool;
        load.arrivals = static_cast<std::int64_t>(row.arrivals);
        load.queued = static_cast<std::int32_t>(row.queued);
        load.running = static_cast<std::int32_t>(row.running);
        load.runMicroseconds = row.expectedRun.count();
        loads.push_back(std::move(load));
    }
    return loads;
}

std::vector<std::string> planner_task::unhealthyHosts() const
{
    std::vector<std::string> hosts;
    for (const fleet_host &host : m_fleet.publishedHosts().hosts) {
        if (host.dataCentre == m_dataCentre && healthOf(m_endpoints.observation(host.name), m_loop.now()) != host_health::healthy) {
            hosts.push_back(host.name);
        }
    }
    return hosts;
}

fleet_health planner_task::health() const
{
    std::set<std::string> observedDataCentres{m_dataCentre};
    std::set<std::string> unhealthy;
    for (const peer_state &peer : m_peers.livePeers()) {
        if (peer.identity.dataCentre != m_dataCentre && peer.heartbeat.ready) {
            observedDataCentres.insert(peer.identity.dataCentre);
            unhealthy.insert(peer.heartbeat.unhealthyHosts.begin(), peer.heartbeat.unhealthyHosts.end());
        }
    }

    // A host counts as down when no entry host of its data centre is live, because planned work must not use an availability budget that
    // may already be used up.
    fleet_health health;
    for (const fleet_host &host : m_fleet.publishedHosts().hosts) {
        if (host.dataCentre == m_dataCentre) {
            health[host.name] = healthOf(m_endpoints.observation(host.name), m_loop.now());
        } else {
            const bool isHealthy = observedDataCentres.contains(host.dataCentre) && !unhealthy.contains(host.name);
            health[host.name] = isHealthy ? host_health::healthy : host_health::down;
        }
    }
    return health;
}

void planner_task::plan()
{
    const auto totals = collectPoolTotals();
    const bool mayPlan = m_fleet.follower().isLogReachable() && m_fleet.fold().isRegistered(m_peers.incarnation()) && m_loop.now() >= m_settledAt;
    if (!mayPlan) {
        return;
    }

    const fleet_health hostHealth = health();
    availability_budget budget(m_fleet.publishedHosts(), m_fleet.fold().state(), hostHealth);
    planWaves(budget);

    std::vector<pool_demand> demands;
    for (const fleet_pool &pool : m_fleet.publishedHosts().pools) {
        const auto found = totals.find(pool.name);
        const pool_sample sample = sampleOf(pool, found == totals.end() ? pool_totals{} : found->second);
        const auto policy = m_policies.try_emplace(pool.name, queue_model_policy(queue_model_policy::settings{})).first;
        demands.push_back(decideDemand(policy->second, pool.name, sample, m_loop.now()));
    }
    if (!m_peers.isSelected("moves")) {
        return;
    }

    const auto decisions = m_movePlanner.plan(m_fleet.publishedHosts(), m_fleet.fold().state(), budget, demands,
                                              std::chrono::floor<std::chrono::milliseconds>(m_loop.wallNow()));
    const auto newRecord = [this] {
        return static_cast<std::int64_t>(m_random() >> 1) | 1;
    };
    append(moveRecords(decisions, static_cast<std::int64_t>(m_peers.incarnation()), m_loop.wallNow(), newRecord));
}

std::map<std::string, planner_task::pool_totals> planner_task::collectPoolTotals()
{
    std::map<std::string, pool_totals> totals;
    addPoolLoads(totals, m_dataCentre, static_cast<std::int64_t>(m_peers.incarnation()), poolLoads());
    for (const peer_state &peer : m_peers.livePeers()) {
        addPoolLoads(totals, peer.identity.dataCentre, static_cast<std::int64_t>(peer.identity.incarnation), peer.heartbeat.pools);
    }
    return totals;
}

void planner_task::addPoolLoads(std::map<std::string, pool_totals> &totals, const std::string &dataCentre, std::int64_t incarnation,
                                const std::vector<wire::pool_load> &loads)
{
    for (const wire::pool_load &load : loads) {
        pool_totals &pool = totals[load.pool];
        const auto known = m_lastArrivals.try_emplace({incarnation, load.pool}, load.arrivals).first;
        pool.arrivals += static_cast<double>(std::max<std::int64_t>(load.arrivals - known->second, 0));
        known->second = load.arrivals;
        pool.queued += load.queued;
        pool.running += load.running;
        pool.runSeconds = std::max(pool.runSeconds, toSeconds(duration{load.runMicroseconds}));
        pool.queuedByDataCentre[dataCentre] += load.queued;
    }
}

pool_sample planner_task::sampleOf(const fleet_pool &pool, const pool_totals &totals) const
{
    const fleet_state &state = m_fleet.fold().state();
    pool_sample sample;
    sample.interval = planInterval;
    sample.arrivals = totals.arrivals;
    sample.queued = totals.queued;
    sample.running = totals.running;
    sample.runSeconds = totals.runSeconds;
    sample.slotsPerHost = static_cast<std::int64_t>(pool.slotsPerHost);
    sample.moveTime = expectedMoveTime;
    for (const fleet_host &host : m_fleet.publishedHosts().hosts) {
        const auto moved = state.hosts.find(host.name);
        const bool isLeaving = moved != state.hosts.end() && moved->second.isLeaving();
        const std::string &serves = isLeaving ? moved->second.toPool : currentPool(state, host);
        sample.hosts += serves == pool.name ? 1 : 0;
        sample.homeHosts += host.pool == pool.name ? 1 : 0;
    }

    std::vector<std::pair<double, std::string>> order;
    for (const auto &[dataCentre, queued] : totals.queuedByDataCentre) {
        order.emplace_back(-queued, dataCentre);
    }
    std::sort(order.begin(), order.end());
    for (const auto &[queued, dataCentre] : order) {
        sample.dataCentres.push_back(dataCentre);
    }
    return sample;
}

wave_progress planner_task::updateProgress()
{
    wave_progress progress;
    const drain_index drains(m_fleet.fold().state());
    for (const fleet_host &host : m_fleet.publishedHosts().hosts) {
        if (host.dataCentre != m_dataCentre) {
            continue;
        }
        if (!drains.covers(host)) {
            m_progress.erase(host.name);
            continue;
        }

        // The platform reports its maintenance of a host through the host list: leaving while the host reboots, live afterwards.
        host_progress &known = m_progress[host.name];
        const endpoint_observation observation = m_endpoints.observation(host.name);
        known.running = observation.running + observation.inFlight;
        const listed_state listed = m_fleet.listedState(host.name);
        if (listed == listed_state::leaving && known.maintenance == maintenance_state::not_started) {
            known.maintenance = maintenance_state::in_progress;
        } else if (listed == listed_state::live && known.maintenance == maintenance_state::in_progress) {
            known.maintenance = maintenance_state::done;
        }
        progress[host.name] = known;
    }
    return progress;
}

void planner_task::planWaves(availability_budget &budget)
{
    const wave_progress progress = updateProgress();
    if (m_fleet.fold().state().waves.empty() || !m_peers.isSelected("waves " + m_dataCentre, m_dataCentre)) {
        return;
    }

    const fleet_health hostHealth = health();
    const wave_context view{m_fleet.publishedHosts(), m_fleet.fold().state(), hostHealth, progress, 0.0, m_loop.wallNow()};
    std::set<std::string> hostsOfOwnDataCentre;
    for (const fleet_host &host : m_fleet.publishedHosts().hosts) {
        if (host.dataCentre == m_dataCentre) {
            hostsOfOwnDataCentre.insert(host.name);
        }
    }

    const auto newRecord = [this] {
        return static_cast<std::int64_t>(m_random() >> 1) | 1;
    };
    for (const auto &[name, wave] : m_fleet.fold().state().waves) {
        std::vector<wave_decision> decisions = m_waveRunner.next(name, view, budget);
        // Only entry hosts in a host's own data centre can observe its jobs and health.
        std::erase_if(decisions, [&](const wave_decision &decision) { return !decision.host.empty() && !hostsOfOwnDataCentre.contains(decision.host); });
        for (const wave_decision &decision : decisions) {
            if (decision.step == wave_step::maintain_host) {
                m_logger.info("host drained; ready for maintenance", {{"wave", name}, {"host", decision.host}});
            } else if (decision.step == wave_step::checkpoint_jobs) {
                m_progress[decision.host].checkpointRequested = true;
                m_logger.warning("long jobs are still running on a draining host", {{"wave", name}, {"host", decision.host}});
            }
        }
        append(waveRecords(decisions, static_cast<std::int64_t>(m_peers.incarnation()), m_loop.wallNow(), newRecord));
    }
}

void planner_task::append(const std::vector<wire::fleet_record> &records)
{
    for (const wire::fleet_record &record : records) {
        m_settledAt = m_loop.now() + settleTime;
        m_logger.info("planned", {{"action", static_cast<int>(record.action)}, {"subject", record.subject}, {"to", record.toPool}});
        m_fleet.append(record, [this, subject = record.subject](const outcome<std::int64_t> &result) {
            if (!result) {
                m_logger.info("planned record not applied", {{"subject", subject}, {"reason", result.lastReason().reason}});
            }
        });
    }
}

} // namespace parsleyglade
