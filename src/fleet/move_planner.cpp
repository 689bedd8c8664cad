#include "fleet/move_planner.h"

#include "fleet/membership.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace parsleyglade {

/** Working state of one call of plan(). */
struct move_planner::planning_state
{
    const fleet_tables &tables;
    const fleet_state &state;
    availability_budget &budget;
    wall_time now;
    std::vector<pool_demand> demands; /**< In descending order of the hosts that the pools lack. */
    std::unordered_map<std::string, const pool_demand *> demandOf;
    std::unordered_map<std::string, std::int64_t> hostsAfterMoves; /**< By pool: available hosts that serve the pool, and hosts that are moving to it. */
    std::set<std::string> sparePools;
    std::set<std::string> decidedHosts;
    std::size_t inProgress = 0;
    std::int64_t expectedPlannedRecord = 0;
    std::vector<move_decision> decisions;

    std::int64_t missing(const pool_demand &demand) const
    {
        return demand.hosts - available(demand.pool);
    }

    /** Number of hosts that the pool releases even if no other pool needs them. */
    std::int64_t surplus(const std::string &pool) const
    {
        const auto demand = demandOf.find(pool);
        return demand == demandOf.end() ? 0 : available(pool) - std::max(demand->second->retainedHosts, demand->second->hosts);
    }

    /**
     * Number of hosts that the pool lends to a pool that lacks hosts, including hosts that it merely retains. For a spare pool without a
     * demand only the availability budget limits the number.
     */
    std::int64_t lendable(const std::string &pool) const
    {
        const auto demand = demandOf.find(pool);
        if (demand == demandOf.end()) {
            return sparePools.contains(pool) ? std::numeric_limits<std::int64_t>::max() : 0;
        }
        return available(pool) - demand->second->hosts;
    }

    std::int64_t available(const std::string &pool) const
    {
        const auto count = hostsAfterMoves.find(pool);
        return count == hostsAfterMoves.end() ? 0 : count->second;
    }

    const host_assignment *assignment(const std::string &host) const
    {
        const auto found = state.hosts.find(host);
        return found == state.hosts.end() ? nullptr : &found->second;
    }

    bool isMoving(const std::string &host) const
    {
        const host_assignment *assigned = assignment(host);
        return decidedHosts.contains(host) || (assigned != nullptr && assigned->isLeaving());
    }
};

move_planner::move_planner(settings values)
    : m_settings(values)
{
}

void move_planner::setMoveTime(duration moveTime)
{
    m_settings.moveTime = moveTime;
}

std::vector<move_decision> move_planner::plan(const fleet_tables &tables, const fleet_state &state, availability_budget &budget,
                                              const std::vector<pool_demand> &demands, wall_time now) const
{
    planning_state current{tables, state, budget, now, demands, {}, {}, {}, {}, 0, state.lastPlannedRecord, {}};
    for (const fleet_pool &pool : tables.pools) {
        if (pool.isSpare) {
            current.sparePools.insert(pool.name);
        }
    }
    for (const fleet_host &host : tables.hosts) {
        const host_assignment *assigned = current.assignment(host.name);
        const bool leaving = assigned != nullptr && assigned->isLeaving();
        current.inProgress += leaving ? 1 : 0;
        if (leaving || budget.isAvailable(host.name)) {
            ++current.hostsAfterMoves[leaving ? assigned->toPool : currentPool(state, host)];
        }
    }
    std::stable_sort(current.demands.begin(), current.demands.end(),
                     [&current](const pool_demand &left, const pool_demand &right) { return current.missing(left) > current.missing(right); });
    for (const pool_demand &demand : current.demands) {
        current.demandOf[demand.pool] = &demand;
    }

    cancelObsoleteMoves(current);
    startLending(current);
    startReturns(current);
    return std::move(current.decisions);
}

void move_planner::cancelObsoleteMoves(planning_state &current) const
{
    for (const fleet_host &host : current.tables.hosts) {
        const host_assignment *assigned = current.assignment(host.name);
        if (assigned == nullptr || !assigned->isLeaving() || assigned->toPool == host.pool || current.surplus(assigned->toPool) <= 0) {
            continue;
        }
        current.decisions.push_back({move_step::cancel, host.name, host.dataCentre, assigned->pool, assigned->toPool, assigned->epoch, 0});
        current.decidedHosts.insert(host.name);
        --current.hostsAfterMoves[assigned->toPool];
        ++current.hostsAfterMoves[assigned->pool];
        --current.inProgress;
    }
}

bool move_planner::mayMoveAgain(const planning_state &current, const fleet_host &host) const
{
    const host_assignment *assigned = current.assignment(host.name);
    if (assigned == nullptr || assigned->startedWallMilliseconds == 0) {
        return true;
    }
    // If the wall clock was set back, the recorded start may be in the future. It counts as long past, so that the host is not blocked.
    const auto sinceStart = current.now - wall_time(std::chrono::milliseconds(assigned->startedWallMilliseconds));
    return sinceStart < std::chrono::milliseconds::zero() || sinceStart >= m_settings.minimumStay;
}

const fleet_host *move_planner::chooseDonor(const planning_state &current, const pool_demand &demand) const
{
    const fleet_host *best = nullptr;
    std::pair<std::size_t, bool> bestRank;
    for (const fleet_host &host : current.tables.hosts) {
        const std::string &pool = currentPool(current.state, host);
        const bool isLent = pool != host.pool;
        const bool canLend = (isLent || current.sparePools.contains(pool)) && current.lendable(pool) > 0;
        if (!canLend || pool == demand.pool || current.isMoving(host.name) || !current.budget.isAvailable(host.name) || !mayMoveAgain(current, host)
            || current.budget.disruptionsAllowed(pool) <= 0) {
            continue;
        }
        const auto preferred = std::find(demand.dataCentres.begin(), demand.dataCentres.end(), host.dataCentre);
        const std::pair rank{static_cast<std::size_t>(preferred - demand.dataCentres.begin()), !isLent};
        if (best == nullptr || rank < bestRank) {
            best = &host;
            bestRank = rank;
        }
    }
    return best;
}

void move_planner::start(planning_state &current, const fleet_host &host, const std::string &toPool) const
{
    const host_assignment *assigned = current.assignment(host.name);
    const std::string &fromPool = currentPool(current.state, host);
    current.decisions.push_back({move_step::start, host.name, host.dataCentre, fromPool, toPool, assigned == nullptr ? 0 : assigned->epoch,
                                 std::exchange(current.expectedPlannedRecord, 0)});
    current.decidedHosts.insert(host.name);
    --current.hostsAfterMoves[fromPool];
    ++current.hostsAfterMoves[toPool];
    ++current.inProgress;
}

void move_planner::startLending(planning_state &current) const
{
    for (const pool_demand &demand : current.demands) {
        if (demand.expectedDuration && *demand.expectedDuration <= m_settings.moveTime) {
            continue;
        }
        while (current.missing(demand) > 0 && current.inProgress < m_settings.maximumConcurrentMoves) {
            const fleet_host *donor = chooseDonor(current, demand);
            if (donor == nullptr || !current.budget.tryChargeHost(donor->name)) {
                break;
            }
            start(current, *donor, demand.pool);
        }
    }
}

void move_planner::startReturns(planning_state &current) const
{
    for (const fleet_host &host : current.tables.hosts) {
        if (current.inProgress >= m_settings.maximumConcurrentMoves) {
            return;
        }
        const std::string &pool = currentPool(current.state, host);
        if (pool == host.pool || current.isMoving(host.name) || current.surplus(pool) <= 0 || !mayMoveAgain(current, host)
            || !current.budget.isAvailable(host.name) || !current.budget.tryChargeHost(host.name)) {
            continue;
        }
        start(current, host, host.pool);
    }
}

} // namespace parsleyglade
