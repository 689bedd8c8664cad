#pragma once

#include "scheduler/host_description.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** Settings for moving hosts between pools. */
struct pool_planner_settings
{
    duration takeoverDelay = std::chrono::milliseconds{3200}; /**< Minimum time between an order of an earlier leader for a host and a move by this one. */
    duration demandHistory = std::chrono::seconds{2}; /**< How long a new leader takes no surplus hosts if the journal does not tell what arrives. */
    double headroom = 1.3; /**< Capacity to provide per unit of arriving work. */
    duration backlogTime = std::chrono::milliseconds{1500}; /**< Time in which a pool should process its backlog. */
    duration moveTimeout = std::chrono::seconds{6}; /**< A move that the host list does not show after this time is treated as failed. */
    duration minimumStay = std::chrono::milliseconds{2500}; /**< Minimum time that a host stays in a pool after its move. */
    double maximumMovingShare = 0.3; /**< Of all hosts, at a time. A moving host serves nobody, and a wrong forecast has to leave most of the fleet in place. */
    std::size_t alwaysPermittedMoves = 100; /**< At a time, whatever their share, so that a small fleet can move all its spare hosts. */
    int minimumHosts = 2; /**< Lower bound for the hosts of a pool that is not a standby pool. */
};

/**
 * Moves idle hosts to pools whose demand exceeds their capacity, so that queues that burst at different times can share hosts. Hosts are
 * taken from pools with surplus hosts first, then from standby pools. A host with runs is never moved. A move is recorded in the journal
 * before it is ordered.
 */
class pool_planner
{
public:
    pool_planner(scheduler &scheduling, pool_planner_settings settings);
    pool_planner(const pool_planner &) = delete;
    pool_planner &operator=(const pool_planner &) = delete;

    /** Starts leading. Call once, after scheduler::lead(). @param fence fencing token of the leader */
    void lead(std::int64_t fence, time_point now);

    /** Plans new moves, and returns the orders of moves that were planned earlier and are now recorded.
        @param isReserved whether a host is needed for something else, for example maintenance, and must not be moved */
    std::vector<host_order> decide(const std::map<std::string, host_description> &hosts, const std::function<bool(const std::string &)> &isReserved,
                                   time_point now);

    /** Whether a move of the host is planned or under way. */
    bool isMoving(const std::string &host) const;

    /** Returns why the pool with the largest shortage gets no more hosts, as key=value pairs, at most once a second; nothing if no pool lacks hosts. */
    std::optional<std::string> takeShortageReport(time_point now);

    /** Reports the result of an order that decide() returned. */
    void handleOrderResult(const host_order &order, host_order_result result, time_point now);

private:
    struct move_state
    {
        std::string pool;
        std::string executor; /**< Executor that ran on the host before the move. */
        time_point plannedAt{};
        std::uint64_t recordedWith = 0; /**< Number of the journal batch that contains the move. */
        bool isOrdered = false;
    };

    struct pool_state
    {
        bool isStandby = false;
        int hosts = 0; /**< Hosts that accept work or are being moved to the pool. */
        int wanted = 0; /**< Hosts that the demand requires. */
        std::int64_t hostMillicores = 0; /**< Processor capacity of one host. */
        std::vector<const host_description *> idle; /**< Hosts without runs that may be moved away. */
        int held = 0; /**< Hosts without runs that have a recent order of an earlier leader. */
        int staying = 0; /**< Hosts without runs that have arrived recently. */
    };

    std::map<std::string, pool_state> surveyPools(const std::map<std::string, host_description> &hosts,
                                                  const std::function<bool(const std::string &)> &isReserved, time_point now);
    bool isExpected(const host_description &host) const;
    void noteShortage(const std::map<std::string, pool_state> &pools, const std::string &target, std::size_t maximumMoves, time_point now);
    int wantedHosts(const service_demand &demand, std::int64_t hostMillicores) const;
    void planMove(const host_description &host, const std::string &target, const pool_state &targetState, time_point now);
    std::vector<host_order> orderRecordedMoves();
    void removeFinishedMoves(const std::map<std::string, host_description> &hosts, time_point now);
    const host_description *takeSourceHost(std::map<std::string, pool_state> &pools, const std::string &target, time_point now);

    scheduler &m_scheduler;
    pool_planner_settings m_settings;
    std::int64_t m_fence = 0;
    std::map<std::string, time_point> m_mayOrderFrom; /**< Earliest time of a move, for hosts with a recent order of an earlier leader. */
    time_point m_knowsDemandFrom{}; /**< No surplus hosts are taken from pools before this time. */
    std::map<std::string, move_state> m_moves;
    std::map<std::string, time_point> m_arrivedAt; /**< When a host last arrived in a pool, by host. */
    std::optional<std::string> m_shortage; /**< Found by the last decide(); @see takeShortageReport() */
    time_point m_nextShortageReport{};
    std::set<std::pair<std::string, std::string>> m_refused; /**< Pairs of host and pool where the pool does not accept the host. */
};

} // namespace parsleyglade
