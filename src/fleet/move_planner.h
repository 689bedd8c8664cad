#pragma once

#include "fleet/availability_budget.h"
#include "fleet/fleet_tables.h"
#include "fleet/move_decision.h"
#include "fleet/pool_demand.h"
#include "records/fleet_state.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Plans moves of hosts between pools so that each pool gets the hosts it demands, within the availability budget and the limit on
 * concurrent moves.
 *
 * A move never takes a host to another data centre; among the hosts that can be lent, the planner prefers those in the data centres
 * that the demand lists first. A lent host moves directly to the next pool that demands it and returns to its home pool when the pool
 * that borrowed it no longer needs it. A host that was moved is not moved again within minimumStay, so that fluctuating demand does not
 * move hosts back and forth. A move that is no longer needed is cancelled before the host has joined the new pool.
 *
 * A plan depends only on the arguments of plan() and the settings: two planners with the same fold make the same plan. If their folds
 * differ, the records that reach the log first apply, and the fold skips the others because of their epoch or their expected planned
 * record.
 */
class move_planner
{
public:
    struct settings
    {
        std::size_t maximumConcurrentMoves = 8; /**< Maximum number of moves in progress at the same time. */
        duration minimumStay = std::chrono::seconds(10); /**< Minimum time between the starts of two moves of the same host. */
        duration moveTime = std::chrono::seconds(3); /**< Expected time from the start of a move until the host has joined. */
    };

    explicit move_planner(settings values);

    /** Sets the measured duration of a move. A move is started only if the demand is expected to last longer than that. */
    void setMoveTime(duration moveTime);

    /**
     * Decides which moves to start and which to cancel. The caller appends the result to the log. @see moveRecords
     * @param budget Charged for each host whose move is started.
     * @param demands At most one for each pool. A pool without a demand neither borrows hosts nor returns borrowed ones; a spare pool
     *        without one lends as many hosts as its budget allows.
     * @param now Wall-clock time, compared with the recorded starts of earlier moves.
     */
    std::vector<move_decision> plan(const fleet_tables &tables, const fleet_state &state, availability_budget &budget, const std::vector<pool_demand> &demands,
                                    wall_time now) const;

private:
    struct planning_state;

    void cancelObsoleteMoves(planning_state &current) const;
    void startLending(planning_state &current) const;
    void startReturns(planning_state &current) const;
    bool mayMoveAgain(const planning_state &current, const fleet_host &host) const;
    const fleet_host *chooseDonor(const planning_state &current, const pool_demand &demand) const;
    void start(planning_state &current, const fleet_host &host, const std::string &toPool) const;

    settings m_settings;
};

} // namespace parsleyglade
