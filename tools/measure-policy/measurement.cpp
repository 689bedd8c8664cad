#include "measurement.h"

#include "cluster_model.h"

#include <algorithm>
#include <atomic>
#include <numeric>
#include <string_view>
#include <thread>

namespace parsleyglade {

namespace {

constexpr std::string_view baselineName = "fifo-round-robin";
constexpr double minimumWaitSeconds = 0.001; /**< Lower bound for waits in ratios, so that a wait of zero doesn't make a ratio infinite. */

/** Results of the runs with and without long jobs on the same seed. */
struct paired_result
{
    run_result withLong;
    run_result withoutLong;
};

double share(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(total);
}

double ratio(double left, double right)
{
    return std::max(left, minimumWaitSeconds) / std::max(right, minimumWaitSeconds);
}

run_result runOnce(const measurement_plan &plan, const deployment &model, const policy_choice &policy, std::uint64_t seed, bool withLong)
{
    workload_settings settings = plan.settings;
    settings.longShare = withLong ? settings.longShare : 0.0;
    no_host_moves planner;
    return cluster_model(model, settings, policy, planner, seed).run();
}

/** Adds values to a measurement, which must outlive it. Calls with the same name add the values of successive seeds. */
class value_collector
{
public:
    explicit value_collector(policy_measurement &target)
        : m_target(target)
    {
    }

    void add(const std::string &name, const std::string &unit, double value)
    {
        const auto found = std::find_if(m_target.values.begin(), m_target.values.end(), [&name](const auto &entry) { return entry.first == name; });
        if (found != m_target.values.end()) {
            found->second.bySeed.push_back(value);
            return;
        }
        m_target.values.push_back({name, {unit, {value}}});
    }

private:
    policy_measurement &m_target;
};

void addWaits(value_collector values, paired_result &result)
{
    const double p99 = quantile(result.withLong.shortWaits, 0.99);
    const double p99Without = quantile(result.withoutLong.shortWaits, 0.99);
    values.add("short wait p50", "s", quantile(result.withLong.shortWaits, 0.5));
    values.add("short wait p99", "s", p99);
    values.add("short wait p50 without long", "s", quantile(result.withoutLong.shortWaits, 0.5));
    values.add("short wait p99 without long", "s", p99Without);
    values.add("short wait p99 with / without long", "x", ratio(p99, p99Without));
    values.add("burst wait p99", "s", quantile(result.withLong.burstWaits, 0.99));
    values.add("burst wait p99 without long", "s", quantile(result.withoutLong.burstWaits, 0.99));
    values.add("urgent start p99", "s", quantile(result.withLong.urgentWaits, 0.99));
    values.add("long wait p50", "s", quantile(result.withLong.longWaits, 0.5));
    values.add("long wait p99", "s", quantile(result.withLong.longWaits, 0.99));
}

void addFairness(value_collector values, run_result &result)
{
    const double quiet = quantile(result.quietCallerWaits, 0.99);
    values.add("quiet callers' burst wait p99", "s", quiet);
    values.add("storming caller's burst wait p99", "s", quantile(result.stormingCallerWaits, 0.99));
    values.add("quiet callers' jobs not run", "share", 1.0 - share(result.startedFromQuietCallers, result.offeredFromQuietCallers));
}

void addLosses(value_collector values, const run_result &withLong, const run_result &withoutLong)
{
    values.add("short jobs not run", "share", 1.0 - share(withLong.startedShort, withLong.offeredShort));
    values.add("short jobs not run without long", "share", 1.0 - share(withoutLong.startedShort, withoutLong.offeredShort));
    values.add("urgent jobs not run", "share", 1.0 - share(withLong.urgentWaits.size(), withLong.offeredUrgent));
    values.add("long jobs not run", "share", 1.0 - share(withLong.startedLong, withLong.offeredLong));
    const std::uint64_t offered = withLong.offeredShort + withLong.offeredLong;
    values.add("refused", "share", share(withLong.refusedCount(), offered));
    for (const result_code code : {result_code::queue_full, result_code::caller_over_limit, result_code::deadline_unreachable}) {
        const auto found = withLong.refusals.find(code);
        values.add("refused, " + std::string(name(code)), "share", found == withLong.refusals.end() ? 0.0 : share(found->second, offered));
    }
    values.add("expired in queue", "share", share(withLong.expired, offered));
    values.add("failed after start", "share", share(withLong.failed, offered));
    values.add("sent again", "share", share(withLong.retried, offered));
    values.add("sent to a full endpoint", "share", share(withLong.sentToFullEndpoint, withLong.sent));
    values.add("unfinished", "jobs", static_cast<double>(withLong.unfinished + withoutLong.unfinished));
}

policy_measurement summarise(const deployment &model, const policy_choice &policy, std::vector<paired_result> &results)
{
    policy_measurement summary{model.name, policy.name, {}};
    const value_collector values(summary);
    for (paired_result &result : results) {
        addWaits(values, result);
        addFairness(values, result.withLong);
        addLosses(values, result.withLong, result.withoutLong);
    }

    return summary;
}

const measured_value *findValue(const policy_measurement &measurement, std::string_view name)
{
    const auto found = std::find_if(measurement.values.begin(), measurement.values.end(), [name](const auto &entry) { return entry.first == name; });
    return found == measurement.values.end() ? nullptr : &found->second;
}

/** Adds the ratio of each policy's p99 wait of short jobs to that of the baseline with the same seed. */
void addBaselineRatios(std::vector<policy_measurement> &measurements)
{
    for (policy_measurement &measurement : measurements) {
        const auto baseline = std::find_if(measurements.begin(), measurements.end(), [&measurement](const policy_measurement &other) {
            return other.deployment == measurement.deployment && other.policy == baselineName;
        });
        if (baseline == measurements.end()) {
            continue;
        }

        measured_value compared{"x", {}};
        const auto &own = findValue(measurement, "short wait p99")->bySeed;
        const auto &other = findValue(*baseline, "short wait p99")->bySeed;
        for (std::size_t seed = 0; seed < own.size(); ++seed) {
            compared.bySeed.push_back(ratio(own[seed], other[seed]));
        }
        measurement.values.emplace_back("short wait p99 / baseline's", compared);
    }
}

/** Calls work(index) for each index below count, on the given number of threads. */
template <typename Work> void runInParallel(std::size_t count, std::size_t threads, Work work)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (std::size_t thread = 0; thread < std::max<std::size_t>(threads, 1); ++thread) {
        workers.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                work(index);
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
}

} // namespace

double measured_value::mean() const
{
    return bySeed.empty() ? 0.0 : std::accumulate(bySeed.begin(), bySeed.end(), 0.0) / static_cast<double>(bySeed.size());
}

double measured_value::minimum() const
{
    return bySeed.empty() ? 0.0 : *std::min_element(bySeed.begin(), bySeed.end());
}

double measured_value::maximum() const
{
    return bySeed.empty() ? 0.0 : *std::max_element(bySeed.begin(), bySeed.end());
}

std::vector<policy_measurement> measure(const measurement_plan &plan)
{
    std::vector<policy_measurement> measurements;
    for (const deployment &model : plan.deployments) {
        for (const policy_choice &policy : plan.policies) {
            std::vector<paired_result> results(plan.seeds);
            runInParallel(2 * plan.seeds, plan.threads, [&](std::size_t index) {
                paired_result &result = results[index / 2];
                const bool withLong = index % 2 == 0;
                (withLong ? result.withLong : result.withoutLong) = runOnce(plan, model, policy, plan.firstSeed + index / 2, withLong);
            });
            measurements.push_back(summarise(model, policy, results));
        }
    }

    addBaselineRatios(measurements);
    return measurements;
}

} // namespace parsleyglade
