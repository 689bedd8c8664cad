#include "control/control_metrics.h"

namespace parsleyglade {

void control_metrics::countDecision(std::string_view decision)
{
    const auto found = m_decisions.find(decision);
    if (found != m_decisions.end()) {
        ++found->second;
    } else {
        m_decisions.emplace(decision, 1);
    }
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

void control_metrics::countTakeover()
{
    ++m_takeovers;
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
    return {decisions, calls, latency, appends, takeovers};
}

} // namespace parsleyglade
