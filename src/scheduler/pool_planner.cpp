#include "scheduler/pool_planner.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

namespace {

constexpr duration shortageReportInterval = std::chrono::seconds{1};

std::string toMilliseconds(duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

pool_planner::pool_planner(scheduler &scheduling, pool_planner_settings settings)
    : m_scheduler(scheduling)
    , m_settings(settings)
{
}

void pool_planner::lead(std::int64_t fence, time_point now)
{
    m_fence = fence;
    m_knowsDemandFrom = m_scheduler.isDemandRestored() ? now : now + m_settings.demandHistory;
    duration longestWait{};
    for (const auto &[host, latest] : m_scheduler.latestHostOrders()) {
        const duration wait = latest + m_settings.takeoverDelay - now;
        if (wait > duration::zero()) {
            m_mayOrderFrom[host] = now + wait;
            longestWait = std::max(longestWait, wait);
        }
    }
    m_scheduler.addHostDecision("hosts-held", {},
                                "hosts=" + std::to_string(m_mayOrderFrom.size()) + " longest-ms=" + toMilliseconds(longestWait)
                                    + " demand-ms=" + toMilliseconds(m_knowsDemandFrom - now));
}

std::vector<host_order> pool_planner::decide(const std::map<std::string, host_description> &hosts, const std::function<bool(const std::string &)> &isReserved,
                                             time_point now)
{
    removeFinishedMoves(hosts, now);
    m_shortage.reset();
    std::vector<host_order> orders = orderRecordedMoves();
    if (m_scheduler.configuration().version == 0) {
        return orders; // neither the demand of the pools nor the standby pools are known
    }
    auto pools = surveyPools(hosts, isReserved, now);

    const auto share = static_cast<std::size_t>(m_settings.maximumMovingShare * static_cast<double>(hosts.size()));
    const std::size_t maximumMoves = std::max(m_settings.alwaysPermittedMoves, share);

    // Assign one host at a time to the pool with the largest relative shortage.
    while (true) {
        const auto shortage = [](const pool_state &pool) {
            return pool.isStandby || pool.wanted <= pool.hosts ? 0.0 : static_cast<double>(pool.wanted - pool.hosts) / pool.wanted;
        };
        const auto neediest
            = std::max_element(pools.begin(), pools.end(), [&](const auto &left, const auto &right) { return shortage(left.second) < shortage(right.second); });
        if (neediest == pools.end() || shortage(neediest->second) <= 0.0) {
            return orders;
        }
        const host_description *source = m_moves.size() < maximumMoves ? takeSourceHost(pools, neediest->first, now) : nullptr;
        if (source == nullptr) {
            noteShortage(pools, neediest->first, maximumMoves, now);
            return orders;
        }
        ++neediest->second.hosts;
        planMove(*source, neediest->first, neediest->second, now);
    }
}

void pool_planner::planMove(const host_description &host, const std::string &target, const pool_state &targetState, time_point now)
{
    wire::host_record record;
    record.host = host.name;
    record.pool = target;
    m_moves[host.name] = {target, host.executor, now, m_scheduler.recordHost(record), false};
    m_scheduler.setEvacuating(host.executor, true);
    m_scheduler.addHostDecision("move", host.name,
                                "from=" + host.pool + " to=" + target + " wanted=" + std::to_string(targetState.wanted)
                                    + " hosts=" + std::to_string(targetState.hosts));
}

bool pool_planner::isMoving(const std::string &host) const
{
    return m_moves.contains(host);
}

std::vector<host_order> pool_planner::orderRecordedMoves()
{
    std::vector<host_order> orders;
    for (auto &[host, move] : m_moves) {
        if (!move.isOrdered && m_scheduler.confirmedBatch() >= move.recordedWith && m_scheduler.isEmpty(move.executor)) {
            move.isOrdered = true;
            m_scheduler.noteHostOrder(host);
            orders.push_back({host, 0, move.pool, m_fence});
        }
    }
    return orders;
}

void pool_planner::handleOrderResult(const host_order &order, host_order_result result, time_point now)
{
    m_scheduler.noteHostOrderResult(order.host, result == host_order_result::unanswered, now);
    m_scheduler.addHostDecision("move-answered", order.host, "pool=" + order.pool + " result=" + std::string(name(result)));
    const auto found = m_moves.find(order.host);
    if (found == m_moves.end()) {
        return;
    }
    if (result == host_order_result::done) {
        m_arrivedAt[order.host] = now;
        return;
    }
    if (result == host_order_result::unanswered) {
        return; // the host list will show whether it was carried out
    }
    if (result == host_order_result::invalid) {
        m_refused.insert({order.host, order.pool});
    }
    m_scheduler.setEvacuating(found->second.executor, false);
    m_moves.erase(found);
}

std::map<std::string, pool_planner::pool_state> pool_planner::surveyPools(const std::map<std::string, host_description> &hosts,
                                                                          const std::function<bool(const std::string &)> &isReserved, time_point now)
{
    std::map<std::string, pool_state> pools;
    for (const service_policy &service : m_scheduler.configuration().services) {
        pools[service.name].isStandby = service.standby;
    }
    for (const auto &[name, host] : hosts) {
        const auto moving = m_moves.find(name);
        if (moving != m_moves.end()) {
            ++pools[moving->second.pool].hosts;
            continue;
        }
        pool_state &pool = pools[host.pool];
        pool.hostMillicores = std::max(pool.hostMillicores, host.capacity.cpuMillicores);
        const auto mayOrderFrom = m_mayOrderFrom.find(name);
        const bool isHeld = mayOrderFrom != m_mayOrderFrom.end() && now < mayOrderFrom->second;
        if (host.state != host_state::up || isReserved(name)) {
            continue;
        }
        const auto arrived = m_arrivedAt.find(name);
        const bool isWithinMinimumStay = arrived != m_arrivedAt.end() && now < arrived->second + m_settings.minimumStay;
        if (pool.isStandby) {
            if (isHeld) {
                ++pool.held;
            } else {
                pool.idle.push_back(&host);
            }
            continue;
        }
        if (isExpected(host)) {
            ++pool.hosts;
            continue;
        }
        const executor_state *executor = m_scheduler.findExecutor(host.executor);
        if (executor == nullptr || executor->description.draining || !executor->isListed || executor->failedContacts > 0) {
            continue;
        }
        ++pool.hosts;
        if (executor->runs.empty() && executor->isSynchronised) {
            pool.held += isHeld ? 1 : 0;
            pool.staying += !isHeld && isWithinMinimumStay ? 1 : 0;
            if (!isHeld && !isWithinMinimumStay) {
                pool.idle.push_back(&host);
            }
        }
    }
    const auto demands = m_scheduler.demands(now);
    for (auto &[name, pool] : pools) {
        const auto demand = demands.find(name);
        pool.wanted = pool.isStandby ? 0 : wantedHosts(demand == demands.end() ? service_demand{} : demand->second, pool.hostMillicores);
    }
    return pools;
}

/** Whether the host is up with an executor that this leader has not read from the registry yet. Without it a new leader would count no hosts in any pool. */
bool pool_planner::isExpected(const host_description &host) const
{
    const executor_state *executor = m_scheduler.findExecutor(host.executor);
    return !m_scheduler.isRegistryKnown() && !host.executor.empty() && (executor == nullptr || !executor->isListed);
}

void pool_planner::noteShortage(const std::map<std::string, pool_state> &pools, const std::string &target, std::size_t maximumMoves, time_point now)
{
    int surplus = 0;
    int held = 0;
    int staying = 0;
    std::size_t idle = 0;
    for (const auto &[name, pool] : pools) {
        if (name != target) {
            surplus += std::max(pool.hosts - pool.wanted, 0);
            held += pool.held;
            staying += pool.staying;
            idle += pool.idle.size();
        }
    }
    const pool_state &pool = pools.at(target);
    m_shortage = "wanted=" + std::to_string(pool.wanted) + " hosts=" + std::to_string(pool.hosts) + " moving=" + std::to_string(m_moves.size())
        + " moving-limit=" + std::to_string(maximumMoves) + " elsewhere-surplus=" + std::to_string(surplus) + " elsewhere-idle=" + std::to_string(idle)
        + " elsewhere-held=" + std::to_string(held) + " elsewhere-staying=" + std::to_string(staying)
        + " demand-known=" + std::to_string(now >= m_knowsDemandFrom ? 1 : 0) + " pool=" + target;
}

std::optional<std::string> pool_planner::takeShortageReport(time_point now)
{
    if (!m_shortage || now < m_nextShortageReport) {
        return std::nullopt;
    }
    m_nextShortageReport = now + shortageReportInterval;
    return m_shortage;
}

int pool_planner::wantedHosts(const service_demand &demand, std::int64_t hostMillicores) const
{
    if (hostMillicores == 0) {
        return 0;
    }
    const double needed = m_settings.headroom * static_cast<double>(demand.inflowMillicores) + static_cast<double>(demand.longRunningMillicores)
        + static_cast<double>(demand.waitingMillicores) / toSeconds(m_settings.backlogTime);
    const auto wanted = static_cast<int>(std::ceil(needed / static_cast<double>(hostMillicores)));
    return std::max({wanted, demand.minimumExecutors, m_settings.minimumHosts});
}

void pool_planner::removeFinishedMoves(const std::map<std::string, host_description> &hosts, time_point now)
{
    std::erase_if(m_moves, [&](const auto &entry) {
        const auto host = hosts.find(entry.first);
        const bool hasArrived = host != hosts.end() && host->second.pool == entry.second.pool && host->second.state == host_state::up;
        const bool hasExecutor = hasArrived && m_scheduler.findExecutor(host->second.executor) != nullptr;
        // Another executor on the host, for instance after a crash, may have runs, which an order that was planned for the earlier one would end.
        const bool isReplaced = !entry.second.isOrdered && host != hosts.end() && host->second.executor != entry.second.executor;
        const bool isOver = host == hosts.end() || hasExecutor || isReplaced || now > entry.second.plannedAt + m_settings.moveTimeout;
        if (isOver && !hasExecutor && host != hosts.end()) {
            m_scheduler.setEvacuating(host->second.executor, false);
        }
        return isOver;
    });
}

const host_description *pool_planner::takeSourceHost(std::map<std::string, pool_state> &pools, const std::string &target, time_point now)
{
    // Prefer surplus hosts, whose cost is already incurred, to hosts of standby pools, which are switched off.
    for (const bool fromStandby : {false, true}) {
        pool_state *best = nullptr;
        for (auto &[name, pool] : pools) {
            const bool hasSpare = pool.isStandby || pool.hosts > pool.wanted;
            const bool isDemandKnown = pool.isStandby || now >= m_knowsDemandFrom;
            if (name == target || pool.isStandby != fromStandby || !hasSpare || !isDemandKnown || pool.idle.empty()) {
                continue;
            }
            if (best == nullptr || pool.hosts - pool.wanted > best->hosts - best->wanted) {
                best = &pool;
            }
        }
        while (best != nullptr && !best->idle.empty()) {
            const host_description *host = best->idle.back();
            best->idle.pop_back();
            if (!m_refused.contains({host->name, target})) {
                --best->hosts;
                return host;
            }
        }
    }
    return nullptr;
}

} // namespace parsleyglade
