#pragma once

#include "scheduler/pool_planner.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace parsleyglade {

/** Hosts in the pools of two services and a standby pool, planned by one leader after the other. The journal confirms at once, executors do what they are
    told and never end a task, and moves take no time. */
class planned_fleet
{
public:
    /** A move and when it was ordered. */
    struct move
    {
        std::string host;
        std::string pool;
        time_point orderedAt{};
    };

    planned_fleet();

    /** Adds a host with an executor to a pool. */
    void addHost(const std::string &name, const std::string &pool);

    /** Starts the next leader with the journal of the earlier ones. @param knowsRegistry whether it has read the registry */
    void lead(bool hasPredecessorResigned, bool knowsRegistry = true);

    /** Lets the leader record that it resigns. */
    void resign();

    /** Lets the leader read the registry. */
    void readRegistry();

    /** Advances the time in steps of the interval between two plans. Returns the moves that were ordered meanwhile. */
    std::vector<move> run(duration time);

    /** Submits jobs of one task each to a queue, which has the name of its service. */
    void submit(const std::string &queue, int jobs, std::int64_t millicores, std::int64_t milliseconds);

    /** Cancels all jobs. */
    void cancelAll();

    /** Moves the hosts to a pool as the leader would if only the pool's queue had work, and cancels all work. Returns the moves. */
    std::vector<move> moveHostsTo(const std::string &pool);

    wall_time wall() const;

    time_point now{std::chrono::seconds{100}};
    std::chrono::milliseconds wallOffset{}; /**< Difference of the leader's wall clock. */
    host_order_result orderResult = host_order_result::done;
    bool doExecutorsRespond = true; /**< Whether executors respond to polls. */
    bool isOrderAnswered = true; /**< Whether the leader gets the results of its orders. */
    std::map<std::string, host_description> hosts;
    std::vector<std::string> reports; /**< Of this leader, about pools that lack hosts. */

private:
    void settle();
    void registerExecutor(const host_description &host);
    void carryOut(const host_order &order);

    queue_configuration m_configuration;
    std::map<std::string, std::string> m_journal;
    std::unique_ptr<scheduler> m_state;
    std::unique_ptr<pool_planner> m_planner;
    std::vector<std::string> m_jobs;
    std::int64_t m_fence = 0;
};

} // namespace parsleyglade
