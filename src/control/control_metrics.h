#pragma once

#include "core/time_types.h"
#include "reports/latency_histogram.h"
#include "reports/metric.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** Counters and latency histograms of the control plane of one entry host since the start of the process. */
class control_metrics
{
public:
    /** Counts a decision of the scheduler. @param decision its name, as in the log */
    void countDecision(std::string_view decision);

    /** Counts a call that has ended. @param kind kind of the call @param outcome result returned to the caller */
    void countCall(const std::string &kind, const std::string &outcome, duration latency);

    /** Records the latency of an append that the journal has confirmed. */
    void countAppend(duration latency);

    /** Counts that this entry host has become the leader. */
    void countTakeover();

    /** All counters and histograms. Gauges are added by the caller. */
    std::vector<metric> collect() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> m_decisions;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_calls;
    std::map<std::string, latency_histogram> m_callLatency; /**< Keyed by the kind of call. */
    latency_histogram m_appendLatency;
    std::uint64_t m_takeovers = 0;
};

} // namespace parsleyglade
