#include "fleet/wave_runner.h"

#include "records/fleet_record_builder.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

/** A host with an active drain of the wave. */
struct wave_runner::drained_host
{
    std::int64_t drain = 0;
    std::string host;
    std::string dataCentre; /**< Empty if the host is no longer published. */
    duration age{}; /**< Time since the start of the drain. */
    host_progress progress;
    bool isHealthy = false;
};

wave_runner::wave_runner(wave_settings settings)
    : m_settings(settings)
    , m_planner(settings)
{
}

std::vector<wave_runner::drained_host> wave_runner::findDrainedHosts(const std::string &name, const wave_context &context) const
{
    std::unordered_map<std::string, const fleet_host *> published;
    for (const fleet_host &host : context.tables.hosts) {
        published[host.name] = &host;
    }

    std::vector<drained_host> drainedHosts;
    const std::string author = waveAuthor(name);
    for (const auto &[id, drain] : context.state.drains) {
        if (drain.author != author) {
            continue;
        }
        const auto host = published.find(drain.subject);
        const auto progress = context.progress.find(drain.subject);
        const auto health = context.health.find(drain.subject);
        const auto age = context.now - wall_time(std::chrono::milliseconds(drain.wallMilliseconds));
        drainedHosts.push_back({id, drain.subject, host == published.end() ? std::string{} : host->second->dataCentre, age,
                                progress == context.progress.end() ? host_progress{} : progress->second,
                                health != context.health.end() && health->second == host_health::healthy});
    }
    return drainedHosts;
}

void wave_runner::advanceHosts(const std::string &name, const maintenance_wave *wave, const std::vector<drained_host> &drainedHosts,
                               std::vector<wave_decision> &decisions) const
{
    const bool isOpen = wave != nullptr && wave->isOpen();
    for (const drained_host &host : drainedHosts) {
        const auto addDecision = [&](wave_step step) {
            wave_decision decision;
            decision.step = step;
            decision.wave = name;
            decision.host = host.host;
            decision.drain = host.drain;
            decisions.push_back(std::move(decision));
        };

        const bool isCompleted = wave != nullptr && wave->completedHosts.contains(host.host);
        if (isCompleted || host.dataCentre.empty() || (!isOpen && host.progress.maintenance == maintenance_state::not_started)) {
            addDecision(wave_step::end_drain);
        } else if (host.progress.maintenance == maintenance_state::done && host.isHealthy) {
            addDecision(isOpen ? wave_step::finish_host : wave_step::end_drain);
        } else if (host.progress.maintenance != maintenance_state::not_started) {
            continue;
        } else if (host.progress.running == 0 && host.age >= m_settings.drainSettleTime) {
            addDecision(wave_step::maintain_host);
        } else if (host.progress.running > 0 && host.age >= m_settings.longJobDrainTimeout && !host.progress.checkpointRequested) {
            addDecision(wave_step::checkpoint_jobs);
        }
    }
}

bool wave_runner::mustPause(const wave_context &context, std::string &reason) const
{
    if (context.burnRate > m_settings.pauseBurnRate) {
        reason = "the burn rate of a service is above the pause threshold";
        return true;
    }

    const drain_index drains(context.state);
    const auto failures = std::count_if(context.tables.hosts.begin(), context.tables.hosts.end(), [&](const fleet_host &host) {
        const auto health = context.health.find(host.name);
        return !drains.covers(host) && (health == context.health.end() || health->second != host_health::healthy);
    });
    const double maximumFailures
        = std::max(static_cast<double>(m_settings.pauseFailureMinimum), m_settings.pauseFailureShare * static_cast<double>(context.tables.hosts.size()));
    if (static_cast<double>(failures) > maximumFailures) {
        reason = std::to_string(failures) + " hosts are down or suspect unplanned";
        return true;
    }
    return false;
}

bool wave_runner::mayResume(const maintenance_wave &wave, const wave_context &context) const
{
    std::string reason;
    const auto pausedFor = context.now - wall_time(std::chrono::milliseconds(wave.changedWallMilliseconds));
    return wave.changedBy == waveRunnerAuthor && pausedFor >= m_settings.resumeDelay && context.burnRate <= m_settings.resumeBurnRate
        && !mustPause(context, reason);
}

void wave_runner::drainHosts(const std::string &name, const maintenance_wave &wave, const wave_context &context, const std::vector<drained_host> &drainedHosts,
                             availability_budget &budget, std::vector<wave_decision> &decisions) const
{
    std::int64_t count = 0;
    std::string dataCentre;
    std::set<std::string> drained;
    for (const drained_host &host : drainedHosts) {
        drained.insert(host.host);
        if (host.age < m_settings.returnTimeout && !wave.completedHosts.contains(host.host)) {
            ++count;
            dataCentre = host.dataCentre;
        }
    }

    std::unordered_map<std::string, const fleet_host *> published;
    for (const fleet_host &host : context.tables.hosts) {
        published[host.name] = &host;
    }
    const auto failed = m_planner.failedRacks(context.tables, context.state, context.health);
    std::int64_t expectedPlannedRecord = context.state.lastPlannedRecord;
    for (const auto &batch : wave.batches) {
        for (const std::string &hostName : batch) {
            const auto host = published.find(hostName);
            if (count >= m_settings.maximumConcurrentHosts || host == published.end() || wave.completedHosts.contains(hostName) || drained.contains(hostName)) {
                continue;
            }
            // An individually failed host is skipped until it is available again. The hosts of a failed rack are down anyway, so they may
            // be maintained together and beside hosts of another data centre.
            const bool inFailedRack = failed.contains(host->second->rack);
            const bool inSameDataCentre = dataCentre.empty() || host->second->dataCentre == dataCentre;
            if (!inFailedRack && (!inSameDataCentre || !budget.isAvailable(hostName))) {
                continue;
            }
            if (!budget.tryChargeHost(hostName)) {
                continue;
            }
            ++count;
            dataCentre = inFailedRack ? dataCentre : host->second->dataCentre;
            wave_decision decision;
            decision.step = wave_step::drain_host;
            decision.wave = name;
            decision.host = hostName;
            decision.expectedPlannedRecord = std::exchange(expectedPlannedRecord, 0);
            decisions.push_back(std::move(decision));
        }
    }
}

std::vector<wave_decision> wave_runner::next(const std::string &name, const wave_context &context, availability_budget &budget) const
{
    const auto found = context.state.waves.find(name);
    const maintenance_wave *wave = found == context.state.waves.end() ? nullptr : &found->second;
    const auto drainedHosts = findDrainedHosts(name, context);

    std::vector<wave_decision> decisions;
    advanceHosts(name, wave, drainedHosts, decisions);
    if (wave == nullptr || (wave->state != wave_state::running && wave->state != wave_state::paused)) {
        return decisions;
    }

    wave_decision change;
    change.wave = name;
    change.version = wave->version;
    if (wave->state == wave_state::paused) {
        if (mayResume(*wave, context)) {
            change.step = wave_step::resume;
            decisions.push_back(std::move(change));
        }
        return decisions;
    }
    if (mustPause(context, change.reason)) {
        change.step = wave_step::pause;
        decisions.push_back(std::move(change));
        return decisions;
    }
    if (auto plan = m_planner.replan(*wave, name, context.tables, context.state, context.health); plan && !plan->batches.empty()) {
        change.step = wave_step::replan;
        change.batches = std::move(plan->batches);
        decisions.push_back(std::move(change));
        return decisions;
    }

    drainHosts(name, *wave, context, drainedHosts, budget, decisions);
    return decisions;
}

std::vector<wire::fleet_record> waveRecords(const std::vector<wave_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId)
{
    using wire::fleet_action;
    fleet_record_builder builder(writer);
    std::vector<wire::fleet_record> records;
    std::int64_t lastDrain = 0;
    for (const wave_decision &decision : decisions) {
        const std::int64_t id = newRecordId();
        builder.setIdentifierAndTime(id, now.time_since_epoch().count());
        switch (decision.step) {
        case wave_step::drain_host:
            records.push_back(builder.drainStarted(drain_scope::host, decision.host, waveAuthor(decision.wave),
                                                   decision.expectedPlannedRecord == 0 ? lastDrain : decision.expectedPlannedRecord));
            lastDrain = id;
            break;
        case wave_step::finish_host:
            records.push_back(builder.waveHostDone(decision.wave, decision.host));
            break;
        case wave_step::end_drain:
            records.push_back(builder.drainEnded(decision.drain, waveAuthor(decision.wave)));
            break;
        case wave_step::pause:
            records.push_back(builder.waveChanged(fleet_action::wave_paused, decision.wave, decision.version, waveRunnerAuthor, decision.reason));
            break;
        case wave_step::resume:
            records.push_back(builder.waveChanged(fleet_action::wave_started, decision.wave, decision.version, waveRunnerAuthor));
            break;
        case wave_step::replan:
            records.push_back(builder.wavePlanned(decision.wave, decision.batches, decision.version, waveRunnerAuthor));
            break;
        case wave_step::checkpoint_jobs:
        case wave_step::maintain_host:
            break;
        }
    }
    return records;
}

} // namespace parsleyglade
