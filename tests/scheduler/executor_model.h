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

/** What a task does when it runs. */
struct task_behaviour
{
    duration work{};
    bool fails = false;
};

/** A run that an executor has begun, for the oracles. */
struct model_run
{
    task_id task;
    int run = 0;
    resources demand;
    time_point endsAt{};
    run_end end = run_end::done;
    bool isStopping = false;
};

/**
 * A model of one executor: fencing, leases on its own clock, the list of ends, and rejection of runs that were stopped or have ended
 * there. It does not guard its capacity.
 */
class executor_model
{
public:
    using demand_function = std::function<resources(const task_id &)>;
    using behaviour_function = std::function<task_behaviour(const task_id &, int run, const std::string &executor)>;

    executor_model(executor_description description, double clockRate, demand_function demand, behaviour_function behaviour);

    /** Time passes: ends, lapsed leases. */
    void advance(time_point now);

    /** A new boot of the same name: it knows nothing of before. */
    void restart(time_point now);

    order_response start(const start_order &order, time_point now);
    order_response stop(const stop_order &order, time_point now);
    poll_response poll(const poll_order &order, time_point now);

    const executor_description &description() const;
    executor_description registryEntry(time_point now) const;
    const std::vector<model_run> &running() const;
    bool isUp() const;
    void setUp(bool isUp, time_point now);

    /** Ends that a leader has acknowledged before the lease ran out. */
    const std::vector<finished_entry> &acknowledged() const;

private:
    std::int64_t clock(time_point now) const;
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
    std::int64_t m_lapsedUpTo = 0; /**< Ends up to this number were not acknowledged before the lease ran out, and count no more. */
    std::vector<model_run> m_running;
    std::vector<finished_entry> m_finished;
    std::vector<finished_entry> m_acknowledged;
    std::map<task_id, int> m_blocked; /**< Highest run of a task that was stopped or has ended here. */
};

} // namespace parsleyglade
