#include "fleet/wave_runner.h"

#include "records/fleet_record_builder.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

/** A host that the wave has drained. */
struct wave_runner::outstanding
{
    std::int64_t drain = 0;
    std::string host;
    std::string dataCentre; /**< Empty when the host is no longer published. */
    duration age{};
    host_progress progress;
    bool isHealthy = false;
};

wave_runner::wave_runner(wave_settings settings)
    : m_settings(settings)
    , m_planner(settings)
{
}

std::vector<wave_runner::outstanding> wave_runner::outstandingHosts(const std::string &name, const wave_view &view) const
{
    std::unordered_map<std::string, const fleet_host *> published;
    for (const fleet_host &host : view.tables.hosts) {
        published[host.name] = &host;
    }

    std::vector<outstanding> out;
    const std::string author = waveAuthor(name);
    for (const auto &[id, drain] : view.state.drains) {
        if (drain.author != author) {
            continue;
        }
        const auto host = published.find(drain.subject);
        const auto progress = view.progress.find(drain.subject);
        const auto health = view.health.find(drain.subject);
        const auto age = view.now - wall_time(std::chrono::milliseconds(drain.wallMilliseconds));
        out.push_back({id, drain.subject, host == published.end() ? std::string{} : host->second->dataCentre, age,
                       progress == view.progress.end() ? host_progress{} : progress->second,
                       health != view.health.end() && health->second == host_health::healthy});
    }
    return out;
}

void wave_runner::finishHosts(const std::string &name, const maintenance_wave *wave, const std::vector<outstanding> &out,
                              std::vector<wave_decision> &decisions) const
{
    const bool isOpen = wave != nullptr && wave->isOpen();
    for (const outstanding &host : out) {
        const auto decide = [&](wave_step step) {
            wave_decision decision;
            decision.step = step;
            decision.wave = name;
            decision.host = host.host;
            decision.drain = host.drain;
            decisions.push_back(std::move(decision));
        };

        const bool done = wave != nullptr && wave->done.contains(host.host);
        if (done || host.dataCentre.empty() || (!isOpen && host.progress.maintenance == maintenance_state::not_started)) {
            decide(wave_step::end_drain);
        } else if (host.progress.maintenance == maintenance_state::done && host.isHealthy) {
            decide(isOpen ? wave_step::finish_host : wave_step::end_drain);
        } else if (host.progress.maintenance != maintenance_state::not_started) {
            continue;
        } else if (host.progress.running == 0 && host.age >= m_settings.drainSettleTime) {
            decide(wave_step::maintain_host);
        } else if (host.progress.running > 0 && host.age >= m_settings.longJobDrainLimit && !host.progress.checkpointRequested) {
            decide(wave_step::checkpoint_jobs);
        }
    }
}

bool wave_runner::isTroubled(const wave_view &view, std::string &reason) const
{
    if (view.burnRate > m_settings.pauseBurnRate) {
        reason = "the burn rate is over the limit";
        return true;
    }

    const drain_index drains(view.state);
    const auto failures = std::count_if(view.tables.hosts.begin(), view.tables.hosts.end(), [&](const fleet_host &host) {
        const auto health = view.health.find(host.name);
        return !drains.covers(host) && (health == view.health.end() || health->second != host_health::healthy);
    });
    const double limit
        = std::max(static_cast<double>(m_settings.pauseFailureMinimum), m_settings.pauseFailureShare * static_cast<double>(view.tables.hosts.size()));
    if (static_cast<double>(failures) > limit) {
        reason = std::to_string(failures) + " hosts are down or suspect unplanned";
        return true;
    }
    return false;
}

bool wave_runner::mayResume(const maintenance_wave &wave, const wave_view &view) const
{
    std::string reason;
    const auto pausedFor = view.now - wall_time(std::chrono::milliseconds(wave.changedWallMilliseconds));
    return wave.changedBy == waveRunnerAuthor && pausedFor >= m_settings.resumeDelay && view.burnRate <= m_settings.resumeBurnRate && !isTroubled(view, reason);
}

void wave_runner::drainHosts(const std::string &name, const maintenance_wave &wave, const wave_view &view, const std::vector<outstanding> &out,
                             availability_budget &budget, std::vector<wave_decision> &decisions) const
{
    std::int64_t count = 0;
    std::string dataCentre;
    std::set<std::string> drained;
    for (const outstanding &host : out) {
        drained.insert(host.host);
        if (host.age < m_settings.returnLimit && !wave.done.contains(host.host)) {
            ++count;
            dataCentre = host.dataCentre;
        }
    }

    std::unordered_map<std::string, const fleet_host *> published;
    for (const fleet_host &host : view.tables.hosts) {
        published[host.name] = &host;
    }
    const auto failed = m_planner.failedRacks(view.tables, view.state, view.health);
    std::int64_t follows = view.state.lastPlannedRecord;
    for (const auto &batch : wave.batches) {
        for (const std::string &hostName : batch) {
            const auto host = published.find(hostName);
            if (count >= m_settings.maximumOut || host == published.end() || wave.done.contains(hostName) || drained.contains(hostName)) {
                continue;
            }
            // A host that failed by itself is passed over until it is back. The hosts of a failed rack can be maintained together.
            const bool free = failed.contains(host->second->rack);
            const bool inPlace = dataCentre.empty() || host->second->dataCentre == dataCentre;
            if (!free && (!inPlace || !budget.isAvailable(hostName))) {
                continue;
            }
            if (!budget.takeHost(hostName)) {
                continue;
            }
            ++count;
            dataCentre = free ? dataCentre : host->second->dataCentre;
            wave_decision decision;
            decision.step = wave_step::drain_host;
            decision.wave = name;
            decision.host = hostName;
            decision.follows = std::exchange(follows, 0);
            decisions.push_back(std::move(decision));
        }
    }
}

std::vector<wave_decision> wave_runner::next(const std::string &name, const wave_view &view, availability_budget &budget) const
{
    const auto found = view.state.waves.find(name);
    const maintenance_wave *wave = found == view.state.waves.end() ? nullptr : &found->second;
    const auto out = outstandingHosts(name, view);

    std::vector<wave_decision> decisions;
    finishHosts(name, wave, out, decisions);
    if (wave == nullptr || (wave->state != wave_state::running && wave->state != wave_state::paused)) {
        return decisions;
    }

    wave_decision change;
    change.wave = name;
    change.version = wave->version;
    if (wave->state == wave_state::paused) {
        if (mayResume(*wave, view)) {
            change.step = wave_step::resume;
            decisions.push_back(std::move(change));
        }
        return decisions;
    }
    if (isTroubled(view, change.reason)) {
        change.step = wave_step::pause;
        decisions.push_back(std::move(change));
        return decisions;
    }
    if (auto plan = m_planner.replan(*wave, name, view.tables, view.state, view.health); plan && !plan->batches.empty()) {
        change.step = wave_step::replan;
        change.batches = std::move(plan->batches);
        decisions.push_back(std::move(change));
        return decisions;
    }

    drainHosts(name, *wave, view, out, budget, decisions);
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
        builder.stamp(id, now.time_since_epoch().count());
        switch (decision.step) {
        case wave_step::drain_host:
            records.push_back(
                builder.drainStarted(drain_scope::host, decision.host, waveAuthor(decision.wave), decision.follows == 0 ? lastDrain : decision.follows));
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
