#include "scheduler/wave_manager.h"

#include <algorithm>

namespace parsleyglade {

wave_manager::wave_manager(scheduler &scheduling, wave_manager_settings settings)
    : m_scheduler(scheduling)
    , m_settings(settings)
{
}

void wave_manager::lead(std::int64_t fence, time_point now)
{
    m_fence = fence;
    m_mayOrderFrom = now + m_settings.takeoverDelay;
    for (const wire::host_record &record : m_scheduler.hostRecords()) {
        if (record.wave != 0 && record.done) {
            m_restoredStartedHosts[record.wave].insert(record.host);
        }
    }
}

void wave_manager::setWave(const wave_request &request, time_point now)
{
    if (m_waves.contains(request.wave)) {
        return;
    }
    wave_state &wave = m_waves[request.wave];
    wave.request = request;
    wave.deadline = now + request.within;
    wave.startedHosts = m_restoredStartedHosts[request.wave];
    std::erase_if(wave.startedHosts, [&](const std::string &host) { return !request.hosts.contains(host); });
}

void wave_manager::setHosts(std::vector<host_description> hosts, time_point requestedAt)
{
    const std::map<std::string, host_description> earlier = std::exchange(m_hosts, {});
    for (host_description &host : hosts) {
        std::string name = host.name;
        m_hosts[std::move(name)] = std::move(host);
    }
    m_hostsRequestedAt = requestedAt;
    reportHostStates(earlier);
}

/** Tells the scheduler which executors have lost their host since the earlier list, and which hosts are up. */
void wave_manager::reportHostStates(const std::map<std::string, host_description> &earlier)
{
    for (const auto &[name, before] : earlier) {
        const host_description *host = findHost(name);
        if (host == nullptr || host->executor != before.executor) {
            m_scheduler.setHostUp(before.executor, false, m_hostsRequestedAt);
        }
    }
    for (const auto &[name, host] : m_hosts) {
        m_scheduler.setHostUp(host.executor, host.state == host_state::up, m_hostsRequestedAt);
    }
}

bool wave_manager::needsHost(const std::string &host) const
{
    return m_maintenance.contains(host);
}

const std::map<std::string, host_description> &wave_manager::hosts() const
{
    return m_hosts;
}

void wave_manager::handleOrderResult(const host_order &order, host_order_result result, time_point now)
{
    m_scheduler.noteHostOrderResult(order.host, result == host_order_result::unanswered, now);
    const auto found = m_maintenance.find(order.host);
    if (found == m_maintenance.end()) {
        return;
    }
    host_maintenance &maintenance = found->second;
    maintenance.isOrderInFlight = false;
    maintenance.resultKnownAt = now;
    m_scheduler.addHostDecision("host-order-answered", order.host, "wave=" + std::to_string(order.wave) + " result=" + std::string(name(result)));

    wave_state &wave = m_waves[order.wave];
    switch (result) {
    case host_order_result::done: {
        wave.startedHosts.insert(order.host);
        wire::host_record record;
        record.host = order.host;
        record.wave = order.wave;
        record.done = true;
        m_scheduler.recordHost(record);
        return;
    }
    case host_order_result::unanswered:
        return; // the host list will show whether it was carried out
    case host_order_result::invalid:
    case host_order_result::not_in_wave:
        wave.removedHosts.insert(order.host);
        releaseHost(order.host);
        return;
    default:
        maintenance.isOrdered = false;
        maintenance.notBefore = now + m_settings.orderRetryDelay;
        return;
    }
}

void wave_manager::decide(time_point now, const std::function<bool(const std::string &)> &isMoving)
{
    if (m_hostsRequestedAt == time_point{}) {
        return;
    }
    advanceHosts(now);
    for (auto &[number, wave] : m_waves) {
        if (wave.isCompleted) {
            continue;
        }
        if (!wave.isAnnounced) {
            wave.isAnnounced = true;
            m_updates.push_back({number, false});
        }
        for (const std::string &host : wave.request.hosts) {
            if (!m_hosts.contains(host) && !m_maintenance.contains(host)) {
                wave.removedHosts.insert(host);
            }
        }
        chooseHosts(wave, isMoving, now);
        completeIfDone(wave);
    }
    orderMaintenance(now);
}

std::vector<host_order> wave_manager::takeOrders()
{
    return std::exchange(m_orders, {});
}

std::vector<wave_manager::status_update> wave_manager::takeStatusUpdates()
{
    return std::exchange(m_updates, {});
}

const host_description *wave_manager::findHost(const std::string &host) const
{
    const auto found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

void wave_manager::advanceHosts(time_point now)
{
    std::vector<std::string> finished;
    for (auto &[name, maintenance] : m_maintenance) {
        const host_description *host = findHost(name);
        if (!maintenance.isOrdered || maintenance.isOrderInFlight) {
            const bool isReplaced = host == nullptr || host->executor != maintenance.executor;
            if (!maintenance.isOrdered && isReplaced) {
                finished.push_back(name); // the host has crashed or left its pool meanwhile; chooseHosts() may choose it again
            }
            continue;
        }
        // A list that was requested before the order can show an earlier state of the host, for example just after a move.
        const bool isListedLater = m_hostsRequestedAt > maintenance.resultKnownAt;
        const bool isBack = host == nullptr || (host->state == host_state::up && host->executor != maintenance.executor);
        const bool hasBegun = m_waves[maintenance.wave].startedHosts.contains(name);
        if (isListedLater && isBack) {
            if (!hasBegun && host != nullptr) {
                // The response was lost. Repeating the order is safe, and reports done if the first one was carried out.
                maintenance.executor = host->executor;
                maintenance.isOrdered = false;
                continue;
            }
            finished.push_back(name);
        } else if (isListedLater && !hasBegun && now - maintenance.orderedAt > m_settings.maintenanceTimeout && host->state == host_state::up) {
            maintenance.isOrdered = false;
        }
    }
    for (const std::string &name : finished) {
        releaseHost(name);
    }
}

void wave_manager::chooseHosts(wave_state &wave, const std::function<bool(const std::string &)> &isMoving, time_point now)
{
    std::vector<std::pair<std::size_t, const host_description *>> candidates;
    for (const std::string &name : wave.request.hosts) {
        const host_description *host = findHost(name);
        if (host == nullptr || wave.startedHosts.contains(name) || wave.removedHosts.contains(name) || m_maintenance.contains(name)
            || host->state != host_state::up || isMoving(name)) {
            continue;
        }
        const executor_state *executor = m_scheduler.findExecutor(host->executor);
        candidates.emplace_back(executor == nullptr ? 0 : executor->runs.size(), host);
    }
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &left, const auto &right) { return left.first < right.first; });

    const auto rounds = static_cast<std::int64_t>(candidates.size()) / std::max(wave.request.cap, 1) + 1;
    const bool isUrgent = now + rounds * m_settings.estimatedHostTime > wave.deadline;
    auto pools = candidates.empty() ? std::map<std::string, pool_state>() : surveyPools();
    for (const auto &[runs, host] : candidates) {
        pool_state &pool = pools[host->pool];
        if (pool.inProgress >= maximumConcurrentHosts(pool, wave.request, isUrgent)) {
            continue;
        }
        ++pool.inProgress;
        host_maintenance &maintenance = m_maintenance[host->name];
        maintenance.wave = wave.request.wave;
        maintenance.executor = host->executor;
        m_scheduler.addHostDecision("evacuate", host->name,
                                    "wave=" + std::to_string(maintenance.wave) + " pool=" + host->pool + " runs=" + std::to_string(runs)
                                        + " urgent=" + std::to_string(static_cast<int>(isUrgent)));
        m_scheduler.setEvacuating(host->executor, true);
    }
}

void wave_manager::orderMaintenance(time_point now)
{
    std::map<std::int64_t, int> down;
    for (auto &[name, maintenance] : m_maintenance) {
        if (maintenance.isOrdered || now < maintenance.notBefore || now < m_mayOrderFrom || !m_scheduler.isEmpty(maintenance.executor)) {
            continue;
        }
        const wave_state &wave = m_waves[maintenance.wave];
        if (!down.contains(maintenance.wave)) {
            down[maintenance.wave] = countHostsDown(maintenance.wave);
        }
        if (down[maintenance.wave] >= wave.request.cap) {
            continue;
        }
        if (maintenance.recordedWith == 0 || now > maintenance.recordedAt + m_settings.recordValidity) {
            wire::host_record record;
            record.host = name;
            record.wave = maintenance.wave;
            maintenance.recordedWith = m_scheduler.recordHost(record);
            maintenance.recordedAt = now;
            continue;
        }
        if (m_scheduler.confirmedBatch() < maintenance.recordedWith) {
            continue;
        }
        maintenance.recordedWith = 0; // a repeated order gets a record of its own
        maintenance.isOrdered = true;
        maintenance.isOrderInFlight = true;
        maintenance.orderedAt = now;
        m_scheduler.addHostDecision("maintain", name, "wave=" + std::to_string(maintenance.wave) + " down=" + std::to_string(++down[maintenance.wave]));
        m_scheduler.noteHostOrder(name);
        m_orders.push_back({name, maintenance.wave, {}, m_fence});
    }
}

int wave_manager::countHostsDown(std::int64_t wave) const
{
    const auto isOrdered = [&](const auto &entry) {
        return entry.second.wave == wave && entry.second.isOrdered;
    };
    const auto ordered = std::count_if(m_maintenance.begin(), m_maintenance.end(), isOrdered);

    // Hosts whose maintenance was ordered by a previous leader.
    const std::set<std::string> &hosts = m_waves.at(wave).request.hosts;
    const auto inherited = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto &entry) {
        const auto own = m_maintenance.find(entry.first);
        const bool isOwn = own != m_maintenance.end() && own->second.isOrdered;
        return !isOwn && entry.second.state == host_state::maintenance && hosts.contains(entry.first);
    });
    return static_cast<int>(ordered + inherited);
}

std::map<std::string, wave_manager::pool_state> wave_manager::surveyPools() const
{
    std::map<std::string, pool_state> pools;
    for (const service_policy &service : m_scheduler.configuration().services) {
        pools[service.name].isStandby = service.standby;
    }
    for (const auto &[name, host] : m_hosts) {
        pool_state &pool = pools[host.pool];
        ++pool.hosts;
        pool.inProgress += m_maintenance.contains(name) ? 1 : 0;
        if (const executor_state *executor = m_scheduler.findExecutor(host.executor)) {
            pool.usedMillicores += executor->used.cpuMillicores;
            pool.millicores += executor->description.capacity.cpuMillicores;
        }
    }
    return pools;
}

/** Returns how many hosts of a pool may be evacuated or in maintenance at a time. */
int wave_manager::maximumConcurrentHosts(const pool_state &pool, const wave_request &request, bool isUrgent) const
{
    if (pool.isStandby) {
        return request.cap;
    }
    const double load = pool.millicores == 0 ? 0.0 : static_cast<double>(pool.usedMillicores) / static_cast<double>(pool.millicores);
    const bool isBusy = load > m_settings.busyLoad && !isUrgent;
    return isBusy ? 1 : std::max(1, static_cast<int>(m_settings.maximumEvacuatedShare * pool.hosts));
}

void wave_manager::releaseHost(const std::string &host)
{
    const auto node = m_maintenance.extract(host);
    if (!node.empty()) {
        m_scheduler.setEvacuating(node.mapped().executor, false);
    }
}

void wave_manager::completeIfDone(wave_state &wave)
{
    const bool isCompleted = std::all_of(wave.request.hosts.begin(), wave.request.hosts.end(),
                                         [&](const std::string &host) { return wave.startedHosts.contains(host) || wave.removedHosts.contains(host); });
    if (isCompleted) {
        wave.isCompleted = true;
        m_scheduler.addHostDecision("wave-completed", {}, "wave=" + std::to_string(wave.request.wave) + " gone=" + std::to_string(wave.removedHosts.size()));
        m_updates.push_back({wave.request.wave, true});
    }
}

} // namespace parsleyglade
