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
 * Turns wishes into at most the allowed moves.
 *
 * A host stays in its data centre; the planner picks the host whose data centre the wish prefers. A lent host goes straight to the
 * next pool that wants it, and returns to its published pool when its pool wants fewer. A host that was moved is not moved again
 * before minimumStay, so that wishes that swing do not move hosts back and forth. A move whose target no longer wants the host is
 * cancelled before it has joined. The decision depends on the arguments alone, so two planners with equal views decide alike, and
 * with unequal views the first record counts and the others are void by epoch or by the record that they follow.
 */
class move_planner
{
public:
    struct settings
    {
        std::size_t maximumConcurrentMoves = 8; /**< Most moves at one time. */
        duration minimumStay = std::chrono::seconds(10); /**< Least time from the start of a move to the next of the same host. */
        duration moveTime = std::chrono::seconds(3); /**< Expected time from the start of a move to its join. */
    };

    explicit move_planner(settings values);

    /** Sets the learned time of a move. A move is started only if the need is expected to outlast it. */
    void setMoveTime(duration moveTime);

    /** Decides starts and cancellations. The budget is charged for the starts. */
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
