#include "pool_fake.h"

#include <cmath>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumQueue = 512;

} // namespace

pool_fake::pool_fake(std::size_t pools, std::size_t hosts, int slots, std::uint64_t seed)
    : m_slots(slots)
    , m_random(seed)
    , m_hosts(hosts)
    , m_queues(pools)
    , m_runningOf(pools)
{
}

void pool_fake::setEntryHosts(std::vector<std::vector<int>> entryHostsOfHost)
{
    m_entryHosts = std::move(entryHostsOfHost);
    for (fake_host &host : m_hosts) {
        host.runningOf.assign(16, 0);
    }
}

void pool_fake::arrive(std::size_t pool, double now, bool isBurst)
{
    ++m_statistics.arrived;
    if (m_queues[pool].size() >= maximumQueue) {
        ++m_statistics.refused;
        return;
    }
    m_queues[pool].push_back({now, isBurst});
}

void pool_fake::startOn(std::size_t index, double now)
{
    fake_host &host = m_hosts[index];
    const auto pool = static_cast<std::size_t>(host.pool);
    const waiting_job job = m_queues[pool].front();
    m_queues[pool].pop_front();
    if (job.isBurst) {
        m_statistics.burstWaits.push_back(now - job.arrived);
    }

    const bool isLong = std::uniform_real_distribution<double>(0, 1)(m_random) < 0.01;
    // Log-normal with a mean of 0.8 s: exp(mu + sigma² / 2) = 0.8 with sigma = 0.5.
    const double run = std::lognormal_distribution<double>(std::log(0.8) - 0.125, 0.5)(m_random) * (isLong ? 20 : 1);
    const auto &entries = m_entryHosts[index];
    const int entry = entries[m_random() % entries.size()];
    ++host.running;
    ++host.runningOf[static_cast<std::size_t>(entry)];
    ++m_runningOf[pool];
    m_ends.push({now + run, index, pool, entry});
}

void pool_fake::advance(double now)
{
    while (!m_ends.empty() && m_ends.top().ends <= now) {
        const running_job job = m_ends.top();
        m_ends.pop();
        --m_hosts[job.host].running;
        --m_hosts[job.host].runningOf[static_cast<std::size_t>(job.entry)];
        --m_runningOf[job.pool];
    }
    for (std::size_t index = 0; index < m_hosts.size(); ++index) {
        const fake_host &host = m_hosts[index];
        while (host.pool >= 0 && host.running < m_slots && !m_queues[static_cast<std::size_t>(host.pool)].empty()) {
            startOn(index, now);
        }
    }
}

} // namespace parsleyglade
