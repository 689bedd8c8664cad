#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace parsleyglade {

/** A host of the fake: running jobs by entry host. */
struct simulated_host
{
    int pool = -1; /**< Pool for which it takes work now; -1 for none. */
    int running = 0;
    std::vector<int> runningByEntryHost; /**< By entry host. */
};

/** Queues of all pools over hosts with slots, in virtual time. First in, first out; the queue of each pool is bounded. */
class pool_simulation
{
public:
    struct statistics
    {
        std::vector<double> burstWaits; /**< Seconds, of jobs that arrived within a burst. */
        std::uint64_t arrived = 0;
        std::uint64_t refused = 0;
    };

    pool_simulation(std::size_t pools, std::size_t hosts, int slots, std::uint64_t seed);

    void setEntryHosts(std::vector<std::vector<int>> entryHostsOfHost);

    /** Adds one job that runs for a random time: 0.8 s on average, and 1 in 100 runs 20 times as long. */
    void addJob(std::size_t pool, double now, bool isInBurst);

    /** Ends the jobs that are due and starts waiting ones. */
    void advance(double now);

    simulated_host &host(std::size_t index)
    {
        return m_hosts[index];
    }
    std::size_t queued(std::size_t pool) const
    {
        return m_queues[pool].size();
    }
    std::size_t running(std::size_t pool) const
    {
        return m_runningByPool[pool];
    }
    const statistics &results() const
    {
        return m_statistics;
    }

    static constexpr double meanRunSeconds = 0.8 * 0.99 + 16.0 * 0.01;

private:
    struct waiting_job
    {
        double arrivedAt = 0;
        bool isInBurst = false;
    };
    struct running_job
    {
        double endsAt = 0;
        std::size_t host = 0;
        std::size_t pool = 0;
        int entryHost = 0;
        bool operator>(const running_job &other) const
        {
            return endsAt > other.endsAt;
        }
    };

    void startNextJob(std::size_t host, double now);

    int m_slots;
    std::mt19937_64 m_random;
    std::vector<simulated_host> m_hosts;
    std::vector<std::deque<waiting_job>> m_queues;
    std::vector<std::size_t> m_runningByPool;
    std::vector<std::vector<int>> m_entryHosts;
    std::priority_queue<running_job, std::vector<running_job>, std::greater<>> m_runningJobs;
    statistics m_statistics;
};

} // namespace parsleyglade
