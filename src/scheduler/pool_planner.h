#pragma once

#include "scheduler/host_description.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** Limits of the moves of hosts between pools. */
struct pool_planner_settings
{
    duration takeoverDelay
        = std::chrono::milliseconds{3200}; /**< A new leader leaves hosts alone for this long to which its predecessor has just given orders. */
    double headroom = 1.3; /**< Capacity for each unit of work that arrives. */
    duration backlogTime = std::chrono::milliseconds{1500}; /**< In which a pool is to work off what waits. */
    duration moveTimeout = std::chrono::seconds{6}; /**< After it a move that the list does not show is taken as failed. */
    duration minimumStay = std::chrono::milliseconds{2500}; /**< A host stays in a pool at least this long after its move. */
    int minimumHosts = 2; /**< Of a pool that has work. */
};

/**
 * Moves empty hosts to the pools whose work does not fit, for queues that burst by turns to more than their pool holds. Hosts come
 * from pools with less work than hosts, then from standby pools. A host on which something runs is never moved.
 */
class pool_planner
{
public:
    pool_planner(scheduler &scheduling, pool_planner_settings settings);
    pool_planner(const pool_planner &) = delete;
    pool_planner &operator=(const pool_planner &) = delete;

    void lead(std::int64_t fence, time_point now);

    /** Moves to order now: those that were planned earlier and are recorded. @param isReserved whether a host is needed for something else. */
    std::vector<host_order> decide(const std::map<std::string, host_description> &hosts, const std::function<bool(const std::string &)> &isReserved,
                                   time_point now);

    void handleOrderResult(const host_order &order, host_order_result result, time_point now);

private:
    struct move_state
    {
        std::string pool;
        std::string executor; /**< That ran on the host before. */
        time_point plannedAt{};
        std::uint64_t recordedWith = 0; /**< Batch that has the move. */
        bool isOrdered = false;
    };

    struct pool_state
    {
        bool isStandby = false;
        int hosts = 0; /**< That take work or are on their way. */
        int wanted = 0;
        std::int64_t hostMillicores = 0; /**< Of one host. */
        std::vector<const host_description *> idle; /**< Empty hosts that may leave. */
    };

    std::map<std::string, pool_state> survey(const std::map<std::string, host_description> &hosts, const std::function<bool(const std::string &)> &isReserved,
                                             time_point now);
    int wantedHosts(const service_demand &demand, std::int64_t hostMillicores) const;
    std::vector<host_order> orderRecordedMoves();
    void forgetFinishedMoves(const std::map<std::string, host_description> &hosts, time_point now);
    const host_description *takeSource(std::map<std::string, pool_state> &pools, const std::string &target);

    scheduler &m_scheduler;
    pool_planner_settings m_settings;
    std::int64_t m_fence = 0;
    time_point m_mayOrderFrom{}; /**< For the hosts below. */
    std::set<std::string> m_heldHosts; /**< To which the predecessor may just have given an order. */
    std::map<std::string, move_state> m_moves;
    std::map<std::string, time_point> m_arrivedAt; /**< When a host was last moved. */
    std::set<std::pair<std::string, std::string>> m_refused; /**< Hosts that a pool does not take. */
};

} // namespace parsleyglade
