#include "cycle_run.h"

#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"

#include <map>
#include <random>

namespace parsleyglade {

namespace {

constexpr double stepSeconds = 10;
constexpr double secondsPerDay = 86400;
constexpr double maximumCycleSeconds = 56 * secondsPerDay;
constexpr double hostFailureSeconds = 4 * 3600;
constexpr double restartSeconds = 300;
constexpr double rackFailureSeconds = 2 * 3600;
constexpr double failuresPerHostDay = 6.0 / 890;
constexpr double restartsPerHostDay = 110.0 / 890;
constexpr double rackFailuresPerDay = 1.0 / 45;
constexpr const char *waveName = "cycle";

/** Simulates one maintenance cycle: hosts fail at random; the fold, wave_planner and wave_runner are those of the product. */
class cycle_run
{
public:
    cycle_run(const deployment &fleet, std::uint64_t seed)
        : m_fleet(fleet)
        , m_random(seed)
    {
        for (const fleet_host &host : fleet.tables.hosts) {
            m_health[host.name] = host_health::healthy;
        }
        m_result.deployment = fleet.name;
        m_result.seed = seed;
        m_result.hosts = fleet.tables.hosts.size();
    }

    cycle_result run()
    {
        const auto plan = wave_planner({}).planCycle(m_fleet.tables, m_fold.state(), m_health, [](const fleet_host &) { return true; });
        append(recordBuilder().wavePlanned(waveName, plan.batches, 0, "operator"));
        append(recordBuilder().waveChanged(wire::fleet_action::wave_started, waveName, 1, "operator"));
        const auto isOpen = [this] {
            return m_fold.state().waves.contains(waveName) && m_fold.state().waves.at(waveName).isOpen();
        };
        for (; m_now < maximumCycleSeconds && isOpen(); m_now += stepSeconds) {
            injectFailures();
            advanceWave();
            updateHealth();
            updateProgress();
        }
        m_result.hours = m_now / 3600;
        m_result.isFinished = !isOpen();
        m_result.hostsDone = m_fold.state().waves.contains(waveName) ? m_fold.state().waves.at(waveName).completedHosts.size() : 0;
        return m_result;
    }

private:
    fleet_record_builder recordBuilder()
    {
        return fleet_record_builder(1).setIdentifierAndTime(++m_nextRecord, wallNow().time_since_epoch().count());
    }

    wall_time wallNow() const
    {
        return wall_time(std::chrono::milliseconds(1'000'000 + static_cast<std::int64_t>(m_now * 1000)));
    }

    bool append(const wire::fleet_record &record)
    {
        return m_fold.apply(m_fold.nextOffset(), record) == fleet_fold_status::applied;
    }

    int randomEventCount(double eventsPerDay)
    {
        return std::poisson_distribution<int>(eventsPerDay * stepSeconds / secondsPerDay)(m_random);
    }

    const fleet_host &randomHost()
    {
        return m_fleet.tables.hosts[m_random() % m_fleet.tables.hosts.size()];
    }

    /** Marks the host as down for the given time, unless it is already down for longer. */
    void markDown(const std::string &host, double seconds)
    {
        double &until = m_downUntil[host];
        until = std::max(until, m_now + seconds);
    }

    /** Fails and restarts random hosts, and fails random racks. */
    void injectFailures()
    {
        const double hosts = static_cast<double>(m_fleet.tables.hosts.size());
        for (int count = randomEventCount(failuresPerHostDay * hosts); count > 0; --count, ++m_result.failures) {
            markDown(randomHost().name, hostFailureSeconds);
        }
        for (int count = randomEventCount(restartsPerHostDay * hosts); count > 0; --count, ++m_result.restarts) {
            markDown(randomHost().name, restartSeconds);
        }
        for (int count = randomEventCount(rackFailuresPerDay); count > 0; --count, ++m_result.rackFailures) {
            const std::string rack = randomHost().rack;
            for (const fleet_host &host : m_fleet.tables.hosts) {
                if (host.rack == rack) {
                    markDown(host.name, rackFailureSeconds);
                }
            }
        }
    }

    /** Appends and applies the next decisions of the wave. They use the health of the previous step, so a failure is detected up to 10 s late. */
    void advanceWave()
    {
        availability_budget budget(m_fleet.tables, m_fold.state(), m_health);
        const auto decisions = wave_runner({}).next(waveName, {m_fleet.tables, m_fold.state(), m_health, m_progress, 0, wallNow()}, budget);
        for (const wave_decision &decision : decisions) {
            host_progress &host = m_progress[decision.host];
            if (decision.step == wave_step::maintain_host) {
                host.maintenance = maintenance_state::in_progress;
                m_maintenanceEndsAt[decision.host] = m_now + std::uniform_real_distribution<double>(900, 1500)(m_random);
            } else if (decision.step == wave_step::checkpoint_jobs) {
                host.checkpointRequested = true;
                m_jobsEndAt[decision.host] = m_now + 30;
                ++m_result.checkpoints;
            }
            m_result.pauses += decision.step == wave_step::pause ? 1 : 0;
            m_result.replans += decision.step == wave_step::replan ? 1 : 0;
        }
        for (const auto &record : waveRecords(decisions, 1, wallNow(), [this] { return ++m_nextRecord; })) {
            const bool isApplied = append(record);
            if (isApplied && record.action == wire::fleet_action::drain_started) {
                // The job on the drained host runs for another 2 min on average; on 1 host in 20, for an hour.
                const bool isLong = m_random() % 20 == 0;
                m_jobsEndAt[record.subject] = m_now + (isLong ? 3600 : std::exponential_distribution<double>(1.0 / 120)(m_random));
                m_progress[record.subject].running = 1;
            }
        }
    }

    /** Completes the jobs on drained hosts and the maintenance that are due. */
    void updateProgress()
    {
        for (auto &[name, host] : m_progress) {
            host.running = m_now >= m_jobsEndAt[name] ? 0 : host.running;
            if (host.maintenance == maintenance_state::in_progress && m_now >= m_maintenanceEndsAt[name]) {
                host.maintenance = maintenance_state::done;
            }
        }
    }

    /** Updates the health of all hosts and counts the pools below their minimum. */
    void updateHealth()
    {
        struct host_counts
        {
            std::int64_t available = 0;
            std::int64_t planned = 0;
        };
        std::map<std::string, host_counts> pools;
        const drain_index drains(m_fold.state());
        for (const fleet_host &host : m_fleet.tables.hosts) {
            const auto down = m_downUntil.find(host.name);
            const bool isUp = down == m_downUntil.end() || down->second <= m_now;
            const auto state = m_progress.find(host.name);
            const bool isRebooting = state != m_progress.end() && state->second.maintenance == maintenance_state::in_progress;
            m_health[host.name] = isUp && !isRebooting ? host_health::healthy : host_health::down;
            host_counts &pool = pools[host.pool];
            pool.planned += drains.covers(host) && isUp ? 1 : 0;
            pool.available += isUp && !drains.covers(host) ? 1 : 0;
        }
        for (const fleet_pool &pool : m_fleet.tables.pools) {
            const host_counts &counts = pools[pool.name];
            const auto minimum = static_cast<std::int64_t>(pool.minimumHosts);
            m_result.violations += counts.available < minimum && counts.planned > 0 ? 1 : 0;
            m_result.failuresAlone += counts.available < minimum && counts.planned == 0 ? 1 : 0;
        }
    }

    const deployment &m_fleet;
    std::mt19937_64 m_random;
    fleet_fold m_fold;
    fleet_health m_health;
    wave_progress m_progress;
    std::map<std::string, double> m_downUntil;
    std::map<std::string, double> m_jobsEndAt;
    std::map<std::string, double> m_maintenanceEndsAt;
    std::int64_t m_nextRecord = 1;
    double m_now = 0;
    cycle_result m_result;
};

} // namespace

cycle_result runCycle(const deployment &fleet, std::uint64_t seed)
{
    return cycle_run(fleet, seed).run();
}

} // namespace parsleyglade
