#include "pool_simulation.h"

#include <cmath>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumQueuedJobs = 512;

} // namespace

pool_simulation::pool_simulation(std::size_t pools, std::size_t hosts, int slots, std::uint64_t seed)
    : m_slots(slots)
    , m_random(seed)
    , m_hosts(hosts)
    , m_queues(pools)
    , m_runningByPool(pools)
{
}

void pool_simulation::setEntryHosts(std::vector<std::vector<int>> entryHostsOfHost)
{
    m_entryHosts = std::move(entryHostsOfHost);
    for (simulated_host &host : m_hosts) {
        host.runningByEntryHost.assign(16, 0);
    }
}

void pool_simulation::addJob(std::size_t pool, double now, bool isInBurst)
{
    ++m_statistics.arrived;
    if (m_queues[pool].size() >= maximumQueuedJobs) {
        ++m_statistics.refused;
        return;
    }
    m_queues[pool].push_back({now, isInBurst});
}

void pool_simulation::startNextJob(std::size_t index, double now)
{
    simulated_host &host = m_hosts[index];
    const auto pool = static_cast<std::size_t>(host.pool);
    const waiting_job job = m_queues[pool].front();
    m_queues[pool].pop_front();
    if (job.isInBurst) {
        m_statistics.burstWaits.push_back(now - job.arrivedAt);
    }

    const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.01;
    // Log-normal with a mean of 0.8 s: exp(mu + sigma² / 2) = 0.8 for sigma = 0.5.
    const double run = std::lognormal_distribution<double>(std::log(0.8) - 0.125, 0.5)(m_random) * (isLong ? 20 : 1);
    const auto &entryHosts = m_entryHosts[index];
    const int entryHost = entryHosts[m_random() % entryHosts.size()];
    ++host.running;
    ++host.runningByEntryHost[static_cast<std::size_t>(entryHost)];
    ++m_runningByPool[pool];
    m_runningJobs.push({now + run, index, pool, entryHost});
}

void pool_simulation::advance(double now)
{
    while (!m_runningJobs.empty() && m_runningJobs.top().endsAt <= now) {
        const running_job job = m_runningJobs.top();
        m_runningJobs.pop();
        --m_hosts[job.host].running;
        --m_hosts[job.host].runningByEntryHost[static_cast<std::size_t>(job.entryHost)];
        --m_runningByPool[job.pool];
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        const simulated_host &host = m_hosts[index];
        while (host.pool >= 0 && host.running < m_slots && !m_queues[static_cast<std::size_t>(host.pool)].empty()) {
            startNextJob(index, now);
        }
    }
}

} // namespace parsleyglade
