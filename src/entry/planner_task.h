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

/** Runs the fleet's plans: lends spare hosts to bursting pools and takes maintenance waves forward. Each entry host has one; rendezvous
    hashing names the one that acts, and the fold makes two at once harmless. */
class planner_task
{
public:
    planner_task(event_loop &loop, const entry_settings &settings, peer_task &peers, fleet_task &fleet, endpoint_task &endpoints, dispatch_task &dispatch);
    planner_task(const planner_task &) = delete;
    planner_task &operator=(const planner_task &) = delete;
    ~planner_task() = default;

    /** This host's figures of each pool, for the heartbeat. */
    std::vector<wire::pool_load> poolLoads() const;

    /** Published hosts of this data centre that are not healthy, for the heartbeat. */
    std::vector<std::string> unhealthyHosts() const;

    /** Health of every published host: this data centre's by its own probes, the others' by what their entry hosts say. */
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
    void addPoolLoads(std::map<std::string, pool_totals> &figures, const std::string &dataCentre, std::int64_t incarnation,
                      const std::vector<wire::pool_load> &loads);
    pool_sample sampleOf(const fleet_pool &pool, const pool_totals &figures) const;
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
    std::map<std::string, spare_policy> m_policies; /**< By pool. */
    std::map<std::pair<std::int64_t, std::string>, std::int64_t> m_lastArrivals; /**< By incarnation and pool. */
    std::map<std::string, host_progress> m_progress;
    time_point m_settledAt{}; /**< Records under way are given time to be folded. */
    std::mt19937_64 m_random{std::random_device{}()};
    timer_subscription m_timer;
    logger m_logger{"fleet"};
};

} // namespace parsleyglade
