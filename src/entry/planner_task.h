#pragma once

#include "entry/dispatch_task.h"
#include "entry/endpoint_task.h"
#include "entry/fleet_task.h"
#include "entry/peer_task.h"
#include "fleet/fleet.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Plans fleet changes once a second: lends spare hosts to overloaded pools and advances maintenance waves. Each entry host runs one, and
 * rendezvous hashing selects the one that acts. Two that act at once are harmless, because the fold rejects conflicting records.
 */
class planner_task
{
public:
    planner_task(event_loop &loop, const entry_settings &settings, peer_task &peers, fleet_task &fleet, endpoint_task &endpoints, dispatch_task &dispatch);
    planner_task(const planner_task &) = delete;
    planner_task &operator=(const planner_task &) = delete;
    ~planner_task() = default;

    /** Returns this entry host's load of each pool, for the heartbeat. */
    std::vector<wire::pool_load> poolLoads() const;

    /** Returns the published hosts of this data centre that are not healthy, for the heartbeat. */
    std::vector<std::string> unhealthyHosts() const;

    /** Returns the health of every published host: from own probes in this data centre, from heartbeats of entry hosts in the others. */
    fleet_health health() const;

private:
    struct pool_totals
    {
        double arrivals = 0;
        double queued = 0;
        double running = 0;
        double runSeconds = 0;
        std::map<std::string, double> queuedByDataCentre;
    };

    void plan();
    void planMoves(availability_budget &budget);
    void planWaves(availability_budget &budget);
    std::map<std::string, pool_totals> collectPoolTotals();
    void addPoolLoads(std::map<std::string, pool_totals> &totals, const std::string &dataCentre, std::int64_t incarnation,
                      const std::vector<wire::pool_load> &loads);
    pool_sample sampleOf(const fleet_pool &pool, const pool_totals &totals) const;
    wave_progress updateProgress();
    void append(const std::vector<wire::fleet_record> &records);

    event_loop &m_loop;
    peer_task &m_peers;
    fleet_task &m_fleet;
    endpoint_task &m_endpoints;
    dispatch_task &m_dispatch;
    std::string m_dataCentre;
    move_planner m_movePlanner;
    wave_runner m_waveRunner;
    std::map<std::string, spare_policy> m_policies; /**< Keyed by pool. */
    std::map<std::pair<std::int64_t, std::string>, std::int64_t> m_lastArrivals; /**< Keyed by incarnation and pool. */
    std::map<std::string, host_progress> m_progress;
    time_point m_settledAt{}; /**< No plan is made before this time, so that appended records can be applied first. */
    std::mt19937_64 m_random{std::random_device{}()};
    timer_subscription m_timer;
    logger m_logger{"fleet"};
};

} // namespace parsleyglade
