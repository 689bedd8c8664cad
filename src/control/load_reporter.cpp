#include "control/load_reporter.h"

#include "control/team_report.h"

namespace parsleyglade {

namespace {

std::int64_t toMicroseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time).count();
}

std::uint64_t endsOf(const service_counters &counters, run_end end)
{
    return counters.ends.at(static_cast<std::size_t>(end));
}

/** Describes what has been counted between two readings of the counters of a service. */
std::string describeRuns(const service_counters &current, const service_counters &last)
{
    std::string text = " accepted=" + std::to_string(current.acceptedJobs - last.acceptedJobs)
        + " refused=" + std::to_string(current.refusedJobs - last.refusedJobs) + " starts=" + std::to_string(current.starts - last.starts);
    if (current.undeliveredStarts > last.undeliveredStarts) {
        text += " undelivered=" + std::to_string(current.undeliveredStarts - last.undeliveredStarts);
    }
    for (std::size_t end = 0; end < runEndNames.size(); ++end) {
        const std::uint64_t count = current.ends.at(end) - last.ends.at(end);
        if (count > 0) {
            text += ' ' + std::string(runEndNames.at(end)) + '=' + std::to_string(count);
        }
    }
    if (current.lostRuns > last.lostRuns) {
        text += " lost=" + std::to_string(current.lostRuns - last.lostRuns);
    }
    const std::uint64_t nearStarts = current.nearStarts - last.nearStarts;
    const std::uint64_t remoteStarts = current.remoteStarts - last.remoteStarts;
    if (nearStarts + remoteStarts > 0) {
        text += " near-starts=" + std::to_string(nearStarts) + " remote-starts=" + std::to_string(remoteStarts)
            + " near-waits=" + std::to_string(current.nearWaits - last.nearWaits)
            + " near-wait-ms=" + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(current.nearWaitTime - last.nearWaitTime).count());
    }
    if (current.copies > last.copies) {
        text += " copies=" + std::to_string(current.copies - last.copies);
    }
    const auto startedJobs = static_cast<std::int64_t>(current.startedJobs - last.startedJobs);
    if (startedJobs > 0) {
        const auto mean = std::chrono::duration_cast<std::chrono::milliseconds>((current.startDelay - last.startDelay) / startedJobs);
        text += " started-jobs=" + std::to_string(startedJobs) + " start-delay-ms=" + std::to_string(mean.count());
    }
    return text;
}

std::string describeStatus(const service_status &status)
{
    return " executors=" + std::to_string(status.executors) + " free-millicores=" + std::to_string(status.freeMillicores)
        + " waiting-tasks=" + std::to_string(status.waitingTasks) + " waiting-millicores=" + std::to_string(status.waitingMillicores);
}

std::string field(std::string_view key, std::uint64_t value, std::uint64_t last)
{
    return ' ' + std::string(key) + '=' + std::to_string(value - last);
}

counter_value toCounter(std::uint64_t count)
{
    return counter_value{static_cast<double>(count)};
}

gauge_value toGauge(std::int64_t value)
{
    return gauge_value{static_cast<double>(value)};
}

} // namespace

load_reporter::load_reporter(const scheduler &state, const leader_load &load)
    : m_state(state)
    , m_load(load)
{
}

void load_reporter::writeLines(time_point now)
{
    m_log.notice("leader" + describeWork() + describeRelays() + describeParts());
    std::map<std::string, service_status> statuses = m_state.serviceStatuses(now);
    for (const auto &[service, counters] : m_state.counters().services) {
        statuses.try_emplace(service);
    }
    static const service_counters none;
    const auto find = [](const scheduler_counters &counters, const std::string &service) -> const service_counters & {
        const auto found = counters.services.find(service);
        return found == counters.services.end() ? none : found->second;
    };
    for (const auto &[service, status] : statuses) {
        m_log.notice("service" + describeStatus(status) + describeRuns(find(m_state.counters(), service), find(m_lastCounters, service)),
                     {{"service", service}});
    }
    for (const auto &[name, team] : m_state.teamStatuses()) {
        if (team.waitingTasks > 0) {
            m_log.notice("team" + describeTeam(team), {{"team", name}});
        }
    }
    m_lastCounters = m_state.counters();
}

std::string load_reporter::describeWork()
{
    const scheduler_counters &current = m_state.counters();
    return field("rounds", current.rounds, m_lastCounters.rounds) + field("executor-visits", current.executorVisits, m_lastCounters.executorVisits)
        + field("candidate-visits", current.candidateVisits, m_lastCounters.candidateVisits) + field("job-visits", current.jobVisits, m_lastCounters.jobVisits)
        + field("polls", current.pollOrders, m_lastCounters.pollOrders) + field("late-start-stops", current.lateStartStops, m_lastCounters.lateStartStops)
        + field("batches", current.batches, m_lastCounters.batches) + field("batch-bytes", current.batchBytes, m_lastCounters.batchBytes);
}

std::string load_reporter::describeRelays()
{
    const relay_counters current = m_load.relays();
    const relay_counters last = std::exchange(m_lastRelays, current);
    return " relays=" + std::to_string(current.relays) + field("direct-orders", current.directOrders, last.directOrders)
        + field("relayed-orders", current.relayedOrders, last.relayedOrders) + field("relayed-results", current.relayedResults, last.relayedResults)
        + field("relay-unanswered", current.unansweredOrders, last.unansweredOrders) + field("relay-messages", current.messages, last.messages)
        + field("relays-lost", current.lostRelays, last.lostRelays);
}

std::string load_reporter::describeParts()
{
    std::string text;
    for (std::size_t number = 0; number < leaderPartNames.size(); ++number) {
        const leader_load::part_load &part = m_load.part(static_cast<leader_part>(number));
        leader_load::part_load &last = m_lastParts.at(number);
        text += ' ' + std::string(leaderPartNames.at(number)) + "-us=" + std::to_string(toMicroseconds(part.processorTime - last.processorTime));
        last = part;
    }
    const duration loopDelay = m_load.loopDelay();
    text += " loop-delay-us=" + std::to_string((loopDelay - m_lastLoopDelay).count());
    m_lastLoopDelay = loopDelay;
    return text;
}

std::vector<metric> load_reporter::collect(time_point now) const
{
    metric time{"parsleyglade_leader_processor_seconds_total", "Processor time of the leader since it took over, by part of its work.", {}};
    metric count{"parsleyglade_leader_work_total", "Units of work of the leader since it took over.", {}};
    for (std::size_t number = 0; number < leaderPartNames.size(); ++number) {
        const leader_load::part_load &part = m_load.part(static_cast<leader_part>(number));
        const std::string partName(leaderPartNames.at(number));
        time.samples.push_back({{{"part", partName}}, counter_value{std::chrono::duration<double>(part.processorTime).count()}});
        count.samples.push_back({{{"kind", partName}}, toCounter(part.count)});
    }
    const scheduler_counters &counters = m_state.counters();
    count.samples.push_back({{{"kind", "rounds"}}, toCounter(counters.rounds)});
    count.samples.push_back({{{"kind", "executor-visits"}}, toCounter(counters.executorVisits)});
    count.samples.push_back({{{"kind", "candidate-visits"}}, toCounter(counters.candidateVisits)});
    count.samples.push_back({{{"kind", "job-visits"}}, toCounter(counters.jobVisits)});
    count.samples.push_back({{{"kind", "poll-orders"}}, toCounter(counters.pollOrders)});
    count.samples.push_back({{{"kind", "late-start-stops"}}, toCounter(counters.lateStartStops)});
    count.samples.push_back({{{"kind", "batches"}}, toCounter(counters.batches)});
    count.samples.push_back({{{"kind", "batch-bytes"}}, toCounter(counters.batchBytes)});
    const relay_counters &relays = m_load.relays();
    count.samples.push_back({{{"kind", "direct-orders"}}, toCounter(relays.directOrders)});
    count.samples.push_back({{{"kind", "relayed-orders"}}, toCounter(relays.relayedOrders)});
    count.samples.push_back({{{"kind", "relayed-results"}}, toCounter(relays.relayedResults)});
    count.samples.push_back({{{"kind", "relay-unanswered"}}, toCounter(relays.unansweredOrders)});
    count.samples.push_back({{{"kind", "relay-messages"}}, toCounter(relays.messages)});
    count.samples.push_back({{{"kind", "relays-lost"}}, toCounter(relays.lostRelays)});
    const metric inUse{"parsleyglade_leader_relays", "Relays that carry orders of the leader.", {{{}, gauge_value{static_cast<double>(relays.relays)}}}};

    metric runs{"parsleyglade_service_runs_total", "Start orders, ends and losses of runs since the leader took over, by service.", {}};
    metric jobs{"parsleyglade_service_jobs_total", "Jobs accepted, refused and started since the leader took over, by service.", {}};
    metric places{
        "parsleyglade_service_near_starts_total", "Starts of tasks that run faster near their data or their group, by whether they were placed there.", {}};
    metric nearWaits{"parsleyglade_service_near_wait_seconds_total", "Time that tasks waited for a near place although there was room elsewhere.", {}};
    metric delay{"parsleyglade_service_start_delay_seconds_total", "Time from acceptance to the first start order, summed over the started jobs.", {}};
    for (const auto &[service, values] : counters.services) {
        runs.samples.push_back({{{"service", service}, {"event", "start"}}, toCounter(values.starts)});
        runs.samples.push_back({{{"service", service}, {"event", "lost"}}, toCounter(values.lostRuns)});
        runs.samples.push_back({{{"service", service}, {"event", "copy"}}, toCounter(values.copies)});
        runs.samples.push_back({{{"service", service}, {"event", "undelivered"}}, toCounter(values.undeliveredStarts)});
        for (std::size_t end = 0; end < runEndNames.size(); ++end) {
            runs.samples.push_back({{{"service", service}, {"event", std::string(runEndNames.at(end))}}, toCounter(endsOf(values, static_cast<run_end>(end)))});
        }
        places.samples.push_back({{{"service", service}, {"place", "near"}}, toCounter(values.nearStarts)});
        places.samples.push_back({{{"service", service}, {"place", "elsewhere"}}, toCounter(values.remoteStarts)});
        nearWaits.samples.push_back({{{"service", service}}, counter_value{toSeconds(values.nearWaitTime)}});
        jobs.samples.push_back({{{"service", service}, {"event", "accepted"}}, toCounter(values.acceptedJobs)});
        jobs.samples.push_back({{{"service", service}, {"event", "refused"}}, toCounter(values.refusedJobs)});
        jobs.samples.push_back({{{"service", service}, {"event", "started"}}, toCounter(values.startedJobs)});
        delay.samples.push_back({{{"service", service}}, counter_value{toSeconds(values.startDelay)}});
    }
    metric waiting{"parsleyglade_service_waiting_tasks", "Tasks that could start if there was capacity.", {}};
    metric free{"parsleyglade_service_free_millicores", "Free capacity of the executors that accept work.", {}};
    for (const auto &[service, status] : m_state.serviceStatuses(now)) {
        waiting.samples.push_back({{{"service", service}}, toGauge(status.waitingTasks)});
        free.samples.push_back({{{"service", service}}, toGauge(status.freeMillicores)});
    }
    std::vector<metric> metrics{time, count, inUse, runs, jobs, places, nearWaits, delay, waiting, free};
    for (metric &team : teamMetrics(m_state.teamStatuses())) {
        metrics.push_back(std::move(team));
    }
    return metrics;
}

} // namespace parsleyglade
