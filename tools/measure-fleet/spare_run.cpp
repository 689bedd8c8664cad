#include "spare_run.h"

#include "pool_simulation.h"

#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

namespace parsleyglade {

namespace {

constexpr double stepSeconds = 0.01;
constexpr double controlIntervalSeconds = 0.1;
constexpr double policyIntervalSeconds = 0.5;
constexpr double meanLoad = 0.3; /**< Mean load of a pool as a share of its slots; with burstFactor, a burst is 1.5 times its capacity. */
constexpr double burstFactor = 5; /**< Arrival rate within a burst as a multiple of the mean rate. */
constexpr double quietFactor = 0.05; /**< Arrival rate outside bursts as a multiple of the mean rate. */
constexpr double joinDelaySeconds = 0.5; /**< Start of the executor for the new pool; the first successful probe follows within the probe interval. */

constexpr const char *peakHostPrefix = "peak-"; /**< Name prefix of the additional hosts that only the fixed-peak policy has. */

/** Schedule in which the pools have bursts in turn: each for 4 to 12 s, with 1 to 4 s between bursts. */
class burst_schedule
{
public:
    burst_schedule(std::size_t pools, std::mt19937_64 &random)
        : m_pools(pools)
        , m_random(random)
    {
    }

    bool isBursting(std::size_t pool, double now)
    {
        while (now >= m_burstEnd) {
            m_burstStart = m_burstEnd + std::uniform_real_distribution<double>(1, 4)(m_random);
            m_burstEnd = m_burstStart + std::uniform_real_distribution<double>(4, 12)(m_random);
            m_burstingPool = (m_burstingPool + 1) % m_pools;
        }
        return pool == m_burstingPool && now >= m_burstStart;
    }

private:
    std::size_t m_pools;
    std::mt19937_64 &m_random;
    std::size_t m_burstingPool = 0;
    double m_burstStart = 0;
    double m_burstEnd = 60; /**< No burst starts in the first 60 s: fixed-peak fills its pools, and the other policies observe the load outside bursts. */
};

/** Returns the number of hosts that a pool needs for its bursts, plus a tenth. */
std::int64_t peakHosts(std::int64_t homeHosts)
{
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(homeHosts) * meanLoad * burstFactor * 1.1));
}

/** One run: simulated queues and hosts; the fold, spare policies and move_planner are those of the product. */
class spare_run
{
public:
    spare_run(const deployment &fleet, const std::string &policy, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
        , m_hasSparePoolDemand(policy != "fixed-peak")
        , m_simulation(fleet.tables.pools.size(), fleet.tables.hosts.size(), 8, seed + 1)
        , m_bursts(fleet.tables.pools.size(), m_random)
        , m_arrivals(fleet.tables.pools.size())
        , m_usableFrom(fleet.tables.hosts.size())
    {
        std::vector<std::vector<int>> entryHosts(fleet.tables.hosts.size());
        for (std::size_t pool = 0; pool < fleet.tables.pools.size(); ++pool) {
            m_poolIndex[fleet.tables.pools[pool].name] = pool;
        }
        for (std::size_t index = 0; index < fleet.tables.hosts.size(); ++index) {
            const fleet_host &host = fleet.tables.hosts[index];
            m_health[host.name] = host_health::healthy;
            m_homeHosts[host.pool] += host.name.starts_with(peakHostPrefix) ? 0 : 1;
            m_simulation.host(index).pool = static_cast<int>(m_poolIndex.at(host.pool));
            for (std::size_t entryHost = 0; entryHost < fleet.entryHostDataCentres.size(); ++entryHost) {
                if (fleet.entryHostDataCentres[entryHost] == host.dataCentre) {
                    entryHosts[index].push_back(static_cast<int>(entryHost));
                }
            }
        }
        m_simulation.setEntryHosts(entryHosts);
        for (std::size_t entryHost = 0; entryHost < fleet.entryHostDataCentres.size(); ++entryHost) {
            append(recordBuilder(static_cast<std::int64_t>(entryHost) + 1)
                       .registered("entry-" + std::to_string(entryHost), fleet.entryHostDataCentres[entryHost], "region", 0));
        }
        for (const fleet_pool &pool : fleet.tables.pools) {
            m_policies.push_back(makePolicy(policy, m_homeHosts[pool.name]));
        }
    }

    spare_result run(double seconds)
    {
        double nextControlAt = 0;
        double nextPolicyAt = policyIntervalSeconds;
        for (m_now = 0; m_now < seconds; m_now += stepSeconds) {
            addArrivals();
            m_simulation.advance(m_now);
            if (m_now >= nextControlAt) {
                advanceMoves();
                nextControlAt += controlIntervalSeconds;
            }
            if (m_now >= nextPolicyAt) {
                planMoves();
                nextPolicyAt += policyIntervalSeconds;
            }
        }
        return summarise(seconds);
    }

private:
    static spare_policy makePolicy(const std::string &name, std::int64_t homeHosts)
    {
        if (name == "fixed-peak") {
            return fixed_peak_policy({peakHosts(homeHosts)});
        }
        if (name == "reactive") {
            return reactive_threshold_policy({});
        }
        return name == "z-score" ? spare_policy(z_score_policy({})) : spare_policy(queue_model_policy({}));
    }

    fleet_record_builder recordBuilder(std::int64_t incarnation)
    {
        return fleet_record_builder(incarnation).setIdentifierAndTime(++m_nextRecord + 1, wallNow().time_since_epoch().count());
    }

    wall_time wallNow() const
    {
        return wall_time(std::chrono::milliseconds(1'000'000 + static_cast<std::int64_t>(m_now * 1000)));
    }

    bool append(const wire::fleet_record &record)
    {
        return m_fold.apply(m_fold.nextOffset(), record) == fleet_fold_status::applied;
    }

    void addArrivals()
    {
        for (std::size_t pool = 0; pool < m_fleet.tables.pools.size(); ++pool) {
            const bool isBurst = m_bursts.isBursting(pool, m_now);
            const double slots = static_cast<double>(m_homeHosts[m_fleet.tables.pools[pool].name] * 8);
            const double rate = meanLoad * slots / pool_simulation::meanRunSeconds * (isBurst ? burstFactor : quietFactor);
            const int jobs = std::poisson_distribution<int>(rate * stepSeconds)(m_random);
            m_arrivals[pool] += jobs;
            for (int job = 0; job < jobs; ++job) {
                m_simulation.addJob(pool, m_now, isBurst);
            }
        }
    }

    /** Acknowledges and completes moves, and lets joined hosts start jobs, as the entry hosts do. */
    void advanceMoves()
    {
        for (std::size_t index = 0; index < m_fleet.tables.hosts.size(); ++index) {
            const fleet_host &host = m_fleet.tables.hosts[index];
            simulated_host &simulated = m_simulation.host(index);
            const auto assignment = m_fold.state().hosts.find(host.name);
            const bool isLeaving = assignment != m_fold.state().hosts.end() && assignment->second.isLeaving();
            const std::string &pool = currentPool(m_fold.state(), host);
            m_lentSeconds += isLeaving || pool != host.pool ? controlIntervalSeconds : 0;
            if (!isLeaving) {
                simulated.pool = m_now >= m_usableFrom[index] ? static_cast<int>(m_poolIndex.at(pool)) : -1;
                continue;
            }

            simulated.pool = -1;
            const double startedAt = m_moveStartedAt[host.name];
            if (m_now < startedAt + toSeconds(m_fleet.logDelay)) {
                continue;
            }
            const std::int64_t epoch = assignment->second.epoch;
            for (std::size_t entryHost = 0; entryHost < m_fleet.entryHostDataCentres.size(); ++entryHost) {
                if (m_fleet.entryHostDataCentres[entryHost] == host.dataCentre && simulated.runningByEntryHost[entryHost] == 0) {
                    append(recordBuilder(static_cast<std::int64_t>(entryHost) + 1).moveAcknowledged(host.name, epoch));
                }
            }
            if (simulated.running == 0 && append(recordBuilder(1).moveJoined(host.name, epoch))) {
                const double probe = std::uniform_real_distribution<double>(0, toSeconds(probeInterval))(m_random);
                m_usableFrom[index] = m_now + toSeconds(m_fleet.logDelay) + joinDelaySeconds + probe;
                ++m_result.moves;
                const double moveSeconds = m_usableFrom[index] - startedAt;
                m_averageMoveSeconds += 0.1 * (moveSeconds - m_averageMoveSeconds);
                m_totalMoveSeconds += moveSeconds;
            }
        }
    }

    void planMoves()
    {
        std::map<std::string, std::int64_t> hostsByPool;
        for (const fleet_host &host : m_fleet.tables.hosts) {
            const auto assignment = m_fold.state().hosts.find(host.name);
            ++hostsByPool[assignment != m_fold.state().hosts.end() && assignment->second.isLeaving() ? assignment->second.toPool
                                                                                                     : currentPool(m_fold.state(), host)];
        }

        std::vector<pool_demand> demands;
        const duration sinceStart(static_cast<std::int64_t>(m_now * 1e6));
        for (std::size_t index = 0; index < m_fleet.tables.pools.size(); ++index) {
            const fleet_pool &pool = m_fleet.tables.pools[index];
            pool_sample sample;
            sample.interval = std::chrono::milliseconds(static_cast<int>(policyIntervalSeconds * 1000));
            sample.arrivals = std::exchange(m_arrivals[index], 0);
            sample.queued = static_cast<double>(m_simulation.queued(index));
            sample.running = static_cast<double>(m_simulation.running(index));
            sample.runSeconds = pool_simulation::meanRunSeconds;
            sample.hosts = hostsByPool[pool.name];
            sample.homeHosts = pool.isSpare ? static_cast<std::int64_t>(pool.minimumHosts) + 1 : m_homeHosts[pool.name];
            sample.slotsPerHost = 8;
            sample.moveTime = duration(static_cast<std::int64_t>(m_averageMoveSeconds * 1e6));
            if (!pool.isSpare || m_hasSparePoolDemand) {
                demands.push_back(decideDemand(m_policies[index], pool.name, sample, time_point(sinceStart)));
            }
        }

        m_planner.setMoveTime(duration(static_cast<std::int64_t>(m_averageMoveSeconds * 1e6)));
        availability_budget budget(m_fleet.tables, m_fold.state(), m_health);
        const auto decisions = m_planner.plan(m_fleet.tables, m_fold.state(), budget, demands, wallNow());
        for (const auto &record : moveRecords(decisions, 1, wallNow(), [this] { return ++m_nextRecord + 1; })) {
            const bool isApplied = append(record);
            if (isApplied && record.action == wire::fleet_action::move_started) {
                m_moveStartedAt[record.subject] = m_now;
            }
            m_result.cancelled += isApplied && record.action == wire::fleet_action::move_cancelled ? 1 : 0;
        }
    }

    spare_result summarise(double seconds)
    {
        const auto &jobs = m_simulation.results();
        std::vector<double> waits = jobs.burstWaits;
        if (!waits.empty()) {
            const auto position = waits.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(waits.size() - 1) * 0.99);
            std::nth_element(waits.begin(), position, waits.end());
            m_result.p99BurstWaitSeconds = *position;
        }
        // Without moves, the spare pool may lend its hosts less its minimum and its reserve.
        const availability_budget budgetWithoutMoves(m_fleet.tables, {}, m_health);
        m_result.heldHostHours = static_cast<double>(budgetWithoutMoves.disruptionsAllowed(m_fleet.tables.pools.back().name)) * seconds / 3600;
        m_result.lentHostHours = m_lentSeconds / 3600;
        m_result.refusedShare = static_cast<double>(jobs.refused) / static_cast<double>(std::max<std::uint64_t>(jobs.arrived, 1));
        m_result.meanMoveSeconds = m_result.moves == 0 ? 0 : m_totalMoveSeconds / static_cast<double>(m_result.moves);
        return m_result;
    }

    const deployment &m_fleet;
    std::mt19937_64 m_random;
    bool m_hasSparePoolDemand; /**< Whether the policy also moves hosts for bursts of the spare pool; fixed-peak keeps enough hosts there. */
    pool_simulation m_simulation;
    burst_schedule m_bursts;
    std::vector<double> m_arrivals;
    std::vector<double> m_usableFrom; /**< By host: time from which it can run jobs of its pool. */
    std::map<std::string, std::size_t> m_poolIndex;
    std::map<std::string, std::int64_t> m_homeHosts; /**< By pool: its own hosts, without the additional ones of fixed-peak. */
    std::map<std::string, double> m_moveStartedAt;
    fleet_health m_health;
    fleet_fold m_fold;
    std::vector<spare_policy> m_policies;
    move_planner m_planner{{}};
    std::int64_t m_nextRecord = 1;
    double m_now = 0;
    double m_averageMoveSeconds = 3; /**< Exponentially weighted average; input of the policies and the planner. */
    double m_totalMoveSeconds = 0;
    double m_lentSeconds = 0;
    spare_result m_result;
};

/**
 * Adds the hosts that static provisioning needs for the peaks of all pools and returns their number.
 *
 * They start in the spare pool, from which the fixed-peak policy moves them to the other pools.
 */
std::int64_t addPeakHosts(deployment &fleet)
{
    std::map<std::string, std::int64_t> homeHosts;
    for (const fleet_host &host : fleet.tables.hosts) {
        ++homeHosts[host.pool];
    }
    fleet_pool &spare = fleet.tables.pools.back();
    std::int64_t added = 0;
    for (const auto &[pool, hosts] : homeHosts) {
        added += peakHosts(hosts) - hosts;
    }
    for (std::int64_t index = 0; index < added; ++index) {
        fleet_host host = fleet.tables.hosts[static_cast<std::size_t>(index)];
        host.name = peakHostPrefix + std::to_string(index);
        host.pool = spare.name;
        fleet.tables.hosts.push_back(host);
    }
    // The reserve of the spare pool is one host, so this minimum retains the hosts for its own peak.
    spare.minimumHosts = static_cast<std::size_t>(peakHosts(homeHosts[spare.name])) - 1;
    return added;
}

} // namespace

spare_result runSpare(const std::string &deploymentName, const std::string &policy, std::uint64_t seed, double seconds)
{
    deployment fleet = makeDeployment(deploymentName);
    const std::int64_t added = policy == "fixed-peak" ? addPeakHosts(fleet) : 0;
    spare_result result = spare_run(fleet, policy, seed).run(seconds);
    result.deployment = deploymentName;
    result.policy = policy;
    result.seed = seed;
    if (added > 0) {
        result.heldHostHours = static_cast<double>(added) * seconds / 3600;
    }
    return result;
}

} // namespace parsleyglade
