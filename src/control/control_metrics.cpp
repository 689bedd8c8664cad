#include "control/control_metrics.h"

namespace parsleyglade {

void control_metrics::countDecision(const std::string &decision)
{
    ++m_decisions[decision];
}

void control_metrics::countCall(const std::string &kind, const std::string &outcome, duration latency)
{
    ++m_calls[{kind, outcome}];
    m_callLatency[kind].add(latency);
}

void control_metrics::countAppend(duration latency)
{
    m_appendLatency.add(latency);
}

void control_metrics::countElection(const std::string &reason, const std::string &state, const journal_load &loaded)
{
    ++m_elections[{reason, state}];
    addLoad("election", loaded);
}

void control_metrics::countCopy(const journal_load &loaded)
{
    addLoad("copy", loaded);
}

void control_metrics::addLoad(const std::string &purpose, const journal_load &loaded)
{
    load_sums &sums = m_loads[purpose];
    sums.loads += loaded.pages > 0 ? 1 : 0;
    sums.records += loaded.records;
    sums.bytes += loaded.bytes;
    sums.elapsed += loaded.elapsed;
}

void control_metrics::countTakeover(duration electionTime)
{
    ++m_takeovers;
    m_electionTime.add(electionTime);
}

std::vector<metric> control_metrics::collect() const
{
    metric decisions{"parsleyglade_decisions_total", "Decisions of the scheduler, by the name used in the log.", {}};
    for (const auto &[decision, count] : m_decisions) {
        decisions.samples.push_back({{{"decision", decision}}, counter_value{static_cast<double>(count)}});
    }

    metric calls{"parsleyglade_calls_total", "Calls that have ended, by kind and by the outcome returned to the caller.", {}};
    for (const auto &[key, count] : m_calls) {
        calls.samples.push_back({{{"kind", key.first}, {"outcome", key.second}}, counter_value{static_cast<double>(count)}});
    }

    metric latency{"parsleyglade_call_latency_seconds", "Time from the arrival of a call to its response.", {}};
    for (const auto &[kind, histogram] : m_callLatency) {
        latency.samples.push_back({{{"kind", kind}}, histogram.value()});
    }

    metric appends{"parsleyglade_journal_append_seconds", "Time until an append is confirmed by the journal.", {{{}, m_appendLatency.value()}}};
    metric takeovers{"parsleyglade_takeovers_total",
                     "Number of times that this entry host has taken over leadership.",
                     {{{}, counter_value{static_cast<double>(m_takeovers)}}}};
    std::vector<metric> metrics{decisions, calls, latency, appends, takeovers};
    addElections(metrics);
    return metrics;
}

void control_metrics::addElections(std::vector<metric> &metrics) const
{
    metric elections{
        "parsleyglade_elections_total", "Attempts to take over leadership, by the reason to begin and the state of the journal that was found.", {}};
    for (const auto &[key, count] : m_elections) {
        elections.samples.push_back({{{"reason", key.first}, {"journal", key.second}}, counter_value{static_cast<double>(count)}});
    }
    metric loads{"parsleyglade_journal_loads_total", "Loads of the whole journal, by purpose.", {}};
    metric records{"parsleyglade_journal_load_records_total", "Records of the journal that were read for elections and copies.", {}};
    metric bytes{"parsleyglade_journal_load_bytes_total", "Bytes of the values of these records.", {}};
    metric seconds{"parsleyglade_journal_load_seconds_total", "Time that these reads took.", {}};
    for (const auto &[purpose, sums] : m_loads) {
        loads.samples.push_back({{{"purpose", purpose}}, counter_value{static_cast<double>(sums.loads)}});
        records.samples.push_back({{{"purpose", purpose}}, counter_value{static_cast<double>(sums.records)}});
        bytes.samples.push_back({{{"purpose", purpose}}, counter_value{static_cast<double>(sums.bytes)}});
        seconds.samples.push_back({{{"purpose", purpose}}, counter_value{toSeconds(sums.elapsed)}});
    }
    const metric time{"parsleyglade_takeover_seconds", "Time from the beginning of an election to the confirmed takeover.", {{{}, m_electionTime.value()}}};
    metrics.insert(metrics.end(), {elections, loads, records, bytes, seconds, time});
}

} // namespace parsleyglade
