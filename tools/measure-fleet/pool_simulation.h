#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace parsleyglade {

/** Host in a pool_simulation. */
struct simulated_host
{
    int pool = -1; /**< Index of the pool whose jobs it starts now; -1 for none. */
    int running = 0; /**< Running jobs. */
    std::vector<int> runningByEntryHost; /**< Running jobs, by entry host. */
};

/**
 * Simulates the queues and running jobs of all pools in virtual time.
 *
 * Each pool has one bounded queue in order of arrival, and each host runs one job per slot. Times are in seconds and must not decrease between
 * calls. Equal seeds and calls give equal results.
 */
class pool_simulation
{
public:
    /** Totals since the start. */
    struct statistics
    {
        std::vector<double> burstWaits; /**< Seconds from arrival to start, of started jobs that arrived within a burst. */
        std::uint64_t arrived = 0; /**< All jobs, including refused ones. */
        std::uint64_t refused = 0; /**< Jobs for which the queue was full. */
    };

    pool_simulation(std::size_t pools, std::size_t hosts, int slots, std::uint64_t seed);

    /** Sets, for each host, the entry hosts that send jobs to it; at most 16 in total. Call it before the first advance(). */
    void setEntryHosts(std::vector<std::vector<int>> entryHostsOfHost);

    /** Queues one job, or refuses it if the queue is full. Its run time is random: 0.8 s on average, and 1 job in 100 runs 20 times as long. */
    void addJob(std::size_t pool, double now, bool isInBurst);

    /** Ends the jobs that complete by the given time, then starts queued jobs on free slots. */
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
