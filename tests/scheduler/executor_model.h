#pragma once

#include "scheduler/executor_description.h"
#include "scheduler/executor_orders.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace parsleyglade {

/** Simulated behaviour of one run of a task. */
struct task_behaviour
{
    duration work{}; /**< Run time. */
    bool fails = false;
};

/** A run that the executor has started; read by the invariant checks. */
struct model_run
{
    task_id task;
    int run = 0;
    resources demand;
    time_point startedAt{};
    time_point endsAt{};
    run_end end = run_end::done;
    bool isStopping = false;
};

/**
 * Simulates one executor: fencing, leases on its own clock, the list of ended runs, and rejection of runs that were stopped or have ended.
 * It does not enforce its capacity, so that tests can detect overcommitment.
 */
class executor_model
{
public:
    static constexpr duration maximumLease = std::chrono::seconds{6}; /**< On the executor's clock. Longer leases are shortened to it. */

    using demand_function = std::function<resources(const task_id &)>;
    using behaviour_function = std::function<task_behaviour(const task_id &, int run, const std::string &executor)>;

    executor_model(executor_description description, double clockRate, demand_function demand, behaviour_function behaviour);

    /** Advances to the given time: ends runs that are due and, if the lease has expired, all runs. */
    void advance(time_point now);

    /** Starts a new boot under the same id, without any earlier state. */
    void restart(time_point now);

    order_response start(const start_order &order, time_point now);
    order_response stop(const stop_order &order, time_point now);
    poll_response poll(const poll_order &order, time_point now);

    const executor_description &description() const;
    executor_description registryEntry(time_point now) const;
    const std::vector<model_run> &running() const;
    bool isUp() const;
    void setUp(bool isUp, time_point now);

    /** Returns the ends that no leader has acknowledged yet. */
    const std::vector<finished_entry> &finished() const;

    /** Returns the ends that a leader acknowledged before the lease expired. */
    const std::vector<finished_entry> &acknowledged() const;

private:
    std::int64_t clock(time_point now) const;
    void extendLease(std::int64_t leaseEnd, time_point now);
    void finish(std::size_t index, run_end end);
    bool acceptsFence(const order_target &target);

    executor_description m_description;
    double m_clockRate;
    demand_function m_demand;
    behaviour_function m_behaviour;
    time_point m_bootedAt{};
    bool m_isUp = true;
    std::int64_t m_fence = -1;
    std::int64_t m_leaseEnd = 0;
    std::int64_t m_nextNumber = 1;
    std::int64_t m_lapsedUpTo = 0; /**< Ends up to this number were not acknowledged before the lease expired and no longer count. */
    std::vector<model_run> m_running;
    std::vector<finished_entry> m_finished;
    std::vector<finished_entry> m_acknowledged;
    std::map<task_id, int> m_blocked; /**< Highest run of each task that was stopped or has ended on this executor. */
};

} // namespace parsleyglade
