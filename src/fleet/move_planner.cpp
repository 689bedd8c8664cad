#include "fleet/move_planner.h"

#include "fleet/membership.h"

#include <algorithm>
#include <limits>
#include <unordered_map>
#include <utility>

namespace parsleyglade {

/** One plan in the making. */
struct move_planner::round
{
    const fleet_tables &tables;
    const fleet_state &state;
    availability_budget &budget;
    wall_time now;
    std::vector<pool_wish> wishes; /**< In falling order of the hosts that are missing. */
    std::unordered_map<std::string, const pool_wish *> wishOf;
    std::unordered_map<std::string, std::int64_t> coming; /**< Hosts that serve a pool or are on their way to it. */
    std::set<std::string> sparePools;
    std::set<std::string> decided;
    std::size_t inProgress = 0;
    std::int64_t follows = 0;
    std::vector<move_decision> decisions;

    std::int64_t missing(const pool_wish &wish) const
    {
        return wish.hosts - available(wish.pool);
    }

    /** Hosts that the pool gives up when no other pool needs them. */
    std::int64_t surplus(const std::string &pool) const
    {
        const auto wish = wishOf.find(pool);
        return wish == wishOf.end() ? 0 : available(pool) - std::max(wish->second->keep, wish->second->hosts);
    }

    /** Hosts that the pool gives to one in need: also those that it only keeps. A spare pool without a wish gives what its budget allows. */
    std::int64_t lendable(const std::string &pool) const
    {
        const auto wish = wishOf.find(pool);
        if (wish == wishOf.end()) {
            return sparePools.contains(pool) ? std::numeric_limits<std::int64_t>::max() : 0;
        }
        return available(pool) - wish->second->hosts;
    }

    std::int64_t available(const std::string &pool) const
    {
        const auto count = coming.find(pool);
        return count == coming.end() ? 0 : count->second;
    }

    const host_assignment *assignment(const std::string &host) const
    {
        const auto found = state.hosts.find(host);
        return found == state.hosts.end() ? nullptr : &found->second;
    }

    bool isMoving(const std::string &host) const
    {
        const host_assignment *assigned = assignment(host);
        return decided.contains(host) || (assigned != nullptr && assigned->isLeaving());
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
                                              const std::vector<pool_wish> &wishes, wall_time now) const
{
    round current{tables, state, budget, now, wishes, {}, {}, {}, {}, 0, state.lastPlannedRecord, {}};
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
            ++current.coming[leaving ? assigned->toPool : currentPool(state, host)];
        }
    }
    std::stable_sort(current.wishes.begin(), current.wishes.end(),
                     [&current](const pool_wish &left, const pool_wish &right) { return current.missing(left) > current.missing(right); });
    for (const pool_wish &wish : current.wishes) {
        current.wishOf[wish.pool] = &wish;
    }

    cancelUseless(current);
    startLending(current);
    startReturns(current);
    return std::move(current.decisions);
}

void move_planner::cancelUseless(round &current) const
{
    for (const fleet_host &host : current.tables.hosts) {
        const host_assignment *assigned = current.assignment(host.name);
        if (assigned == nullptr || !assigned->isLeaving() || assigned->toPool == host.pool || current.surplus(assigned->toPool) <= 0) {
            continue;
        }
        current.decisions.push_back({move_step::cancel, host.name, host.dataCentre, assigned->pool, assigned->toPool, assigned->epoch, 0});
        current.decided.insert(host.name);
        --current.coming[assigned->toPool];
        ++current.coming[assigned->pool];
        --current.inProgress;
    }
}

bool move_planner::mayMoveAgain(const round &current, const fleet_host &host) const
{
    const host_assignment *assigned = current.assignment(host.name);
    if (assigned == nullptr || assigned->startedWallMilliseconds == 0) {
        return true;
    }
    // A wall clock that was set back must not pin a host, so a start in the future counts as long ago.
    const auto since = current.now - wall_time(std::chrono::milliseconds(assigned->startedWallMilliseconds));
    return since < std::chrono::milliseconds::zero() || since >= m_settings.minimumStay;
}

const fleet_host *move_planner::chooseDonor(const round &current, const pool_wish &wish) const
{
    const fleet_host *best = nullptr;
    std::pair<std::size_t, bool> bestRank;
    for (const fleet_host &host : current.tables.hosts) {
        const std::string &pool = currentPool(current.state, host);
        const bool lent = pool != host.pool;
        const bool gives = (lent || current.sparePools.contains(pool)) && current.lendable(pool) > 0;
        if (!gives || pool == wish.pool || current.isMoving(host.name) || !current.budget.isAvailable(host.name) || !mayMoveAgain(current, host)
            || current.budget.mayGo(pool) <= 0) {
            continue;
        }
        const auto preferred = std::find(wish.dataCentres.begin(), wish.dataCentres.end(), host.dataCentre);
        const std::pair rank{static_cast<std::size_t>(preferred - wish.dataCentres.begin()), !lent};
        if (best == nullptr || rank < bestRank) {
            best = &host;
            bestRank = rank;
        }
    }
    return best;
}

void move_planner::start(round &current, const fleet_host &host, const std::string &toPool) const
{
    const host_assignment *assigned = current.assignment(host.name);
    const std::string &fromPool = currentPool(current.state, host);
    current.decisions.push_back(
        {move_step::start, host.name, host.dataCentre, fromPool, toPool, assigned == nullptr ? 0 : assigned->epoch, std::exchange(current.follows, 0)});
    current.decided.insert(host.name);
    --current.coming[fromPool];
    ++current.coming[toPool];
    ++current.inProgress;
}

void move_planner::startLending(round &current) const
{
    for (const pool_wish &wish : current.wishes) {
        if (wish.expectedNeed && *wish.expectedNeed <= m_settings.moveTime) {
            continue;
        }
        while (current.missing(wish) > 0 && current.inProgress < m_settings.movesInProgress) {
            const fleet_host *donor = chooseDonor(current, wish);
            if (donor == nullptr || !current.budget.takeHost(donor->name)) {
                break;
            }
            start(current, *donor, wish.pool);
        }
    }
}

void move_planner::startReturns(round &current) const
{
    for (const fleet_host &host : current.tables.hosts) {
        if (current.inProgress >= m_settings.movesInProgress) {
            return;
        }
        const std::string &pool = currentPool(current.state, host);
        if (pool == host.pool || current.isMoving(host.name) || current.surplus(pool) <= 0 || !mayMoveAgain(current, host)
            || !current.budget.isAvailable(host.name) || !current.budget.takeHost(host.name)) {
            continue;
        }
        start(current, host, host.pool);
    }
}

} // namespace parsleyglade
