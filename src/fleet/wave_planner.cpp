#include "fleet/wave_planner.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace parsleyglade {

namespace {

bool isDown(const fleet_health &health, const std::string &host)
{
    const auto found = health.find(host);
    return found == health.end() || found->second == host_health::down;
}

/**
 * Hosts of the plan that are published and not done, by name.
 * @param hostsUnpublished Set to true if a host that is not done is no longer published; otherwise unchanged.
 */
std::unordered_map<std::string, const fleet_host *> remainingHosts(const maintenance_wave &wave, const fleet_tables &tables, bool &hostsUnpublished)
{
    std::unordered_map<std::string, const fleet_host *> published;
    for (const fleet_host &host : tables.hosts) {
        published[host.name] = &host;
    }

    std::unordered_map<std::string, const fleet_host *> remaining;
    for (const auto &batch : wave.batches) {
        for (const std::string &name : batch) {
            const auto host = published.find(name);
            if (host == published.end()) {
                hostsUnpublished = hostsUnpublished || !wave.completedHosts.contains(name);
            } else if (!wave.completedHosts.contains(name)) {
                remaining[name] = host->second;
            }
        }
    }
    return remaining;
}

} // namespace

std::string waveAuthor(const std::string &wave)
{
    return "wave:" + wave;
}

wave_planner::wave_planner(wave_settings settings)
    : m_settings(settings)
{
}

std::vector<std::vector<std::string>> wave_planner::planBatches(std::vector<const fleet_host *> hosts, const availability_budget &budget,
                                                                std::vector<std::string> &blocked) const
{
    std::sort(hosts.begin(), hosts.end(), [](const fleet_host *left, const fleet_host *right) {
        return std::tie(left->dataCentre, left->rack, left->name) < std::tie(right->dataCentre, right->rack, right->name);
    });

    std::vector<std::vector<std::string>> batches;
    while (!hosts.empty()) {
        availability_budget remainingBudget = budget;
        std::vector<std::string> batch;
        std::vector<const fleet_host *> deferred;
        for (const fleet_host *host : hosts) {
            const bool fits = host->dataCentre == hosts.front()->dataCentre && static_cast<std::int64_t>(batch.size()) < m_settings.maximumConcurrentHosts;
            if (fits && remainingBudget.tryChargeHost(host->name)) {
                batch.push_back(host->name);
            } else {
                deferred.push_back(host);
            }
        }
        if (batch.empty()) {
            blocked.push_back(deferred.front()->name);
            deferred.erase(deferred.begin());
        } else {
            batches.push_back(std::move(batch));
        }
        hosts = std::move(deferred);
    }
    return batches;
}

wave_plan wave_planner::planCycle(const fleet_tables &tables, const fleet_state &state, const fleet_health &health,
                                  const std::function<bool(const fleet_host &)> &isSelected) const
{
    std::vector<const fleet_host *> selected;
    for (const fleet_host &host : tables.hosts) {
        if (isSelected(host)) {
            selected.push_back(&host);
        }
    }

    wave_plan plan;
    plan.batches = planBatches(std::move(selected), availability_budget(tables, state, health), plan.blocked);
    return plan;
}

std::set<std::string> wave_planner::failedRacks(const fleet_tables &tables, const fleet_state &state, const fleet_health &health) const
{
    struct rack_count
    {
        double hosts = 0;
        double down = 0;
    };
    std::unordered_map<std::string, rack_count> racks;
    // Hosts under maintenance are down intentionally, which is no sign of a rack failure.
    std::set<std::string> drainedHosts;
    for (const auto &[id, drain] : state.drains) {
        if (drain.scope == drain_scope::host) {
            drainedHosts.insert(drain.subject);
        }
    }
    for (const fleet_host &host : tables.hosts) {
        if (drainedHosts.contains(host.name)) {
            continue;
        }
        rack_count &rack = racks[host.rack];
        rack.hosts += 1;
        rack.down += isDown(health, host.name) ? 1 : 0;
    }

    std::set<std::string> failed;
    for (const auto &[name, rack] : racks) {
        if (rack.down >= 2 && rack.down >= m_settings.failedRackShare * rack.hosts) {
            failed.insert(name);
        }
    }
    return failed;
}

std::optional<wave_plan> wave_planner::replan(const maintenance_wave &wave, const std::string &name, const fleet_tables &tables, const fleet_state &state,
                                              const fleet_health &health) const
{
    bool hostsUnpublished = false;
    const auto remaining = remainingHosts(wave, tables, hostsUnpublished);
    const auto failed = failedRacks(tables, state, health);

    // The hosts that the wave has drained already and the failed hosts of failed racks form the first batch.
    std::vector<std::string> first;
    std::vector<const fleet_host *> rest;
    bool failedRackNotFirst = false;
    std::set<std::string> drainedByWave;
    for (const auto &[id, drain] : state.drains) {
        if (drain.author == waveAuthor(name)) {
            drainedByWave.insert(drain.subject);
        }
    }
    const std::set<std::string> firstBatchHosts = wave.batches.empty() ? std::set<std::string>{} : std::set(wave.batches[0].begin(), wave.batches[0].end());
    for (const auto &[hostName, host] : remaining) {
        const bool inFailedRack = failed.contains(host->rack) && isDown(health, hostName);
        const bool drained = drainedByWave.contains(hostName);
        failedRackNotFirst = failedRackNotFirst || (inFailedRack && !firstBatchHosts.contains(hostName));
        if (drained || inFailedRack) {
            first.push_back(hostName);
        } else {
            rest.push_back(host);
        }
    }
    if (!hostsUnpublished && !failedRackNotFirst) {
        return std::nullopt;
    }

    wave_plan plan;
    std::sort(first.begin(), first.end());
    if (!first.empty()) {
        plan.batches.push_back(first);
    }
    for (auto &batch : planBatches(std::move(rest), availability_budget(tables, state, health), plan.blocked)) {
        plan.batches.push_back(std::move(batch));
    }
    // Blocked hosts stay in the wave as its last batch; they are drained when the budget of their pool allows it.
    if (!plan.blocked.empty()) {
        plan.batches.push_back(plan.blocked);
    }
    return plan;
}

} // namespace parsleyglade
