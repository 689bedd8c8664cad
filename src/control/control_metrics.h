#pragma once

#include "control/journal_copy.h"
#include "core/time_types.h"
#include "reports/latency_histogram.h"
#include "reports/metric.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Counters and latency histograms of the control plane of one entry host since the start of the process. */
class control_metrics
{
public:
    /** Counts a decision of the scheduler. @param decision its name, as in the log */
    void countDecision(const std::string &decision);

    /** Counts a call that has ended. @param kind kind of the call @param outcome result returned to the caller */
    void countCall(const std::string &kind, const std::string &outcome, duration latency);

    /** Records the latency of an append that the journal has confirmed. */
    void countAppend(duration latency);

    /** Counts an attempt to take over leadership that has ended. @param reason why it began @param state of the journal that was found @param loaded what was
        read for it */
    void countElection(const std::string &reason, const std::string &state, const journal_load &loaded);

    /** Counts a load of the journal for the copy of a named successor. */
    void countCopy(const journal_load &loaded);

    /** Counts that this entry host has become the leader. @param electionTime from the beginning of the election to the confirmed takeover */
    void countTakeover(duration electionTime);

    /** All counters and histograms. Gauges are added by the caller. */
    std::vector<metric> collect() const;

private:
    /** Loads of the journal for one purpose. */
    struct load_sums
    {
        std::uint64_t loads = 0; /**< Those of all pages; reading on from a copy is none. */
        std::uint64_t records = 0;
        std::uint64_t bytes = 0;
        duration elapsed{};
    };

    void addLoad(const std::string &purpose, const journal_load &loaded);
    void addElections(std::vector<metric> &metrics) const;

    std::map<std::string, std::uint64_t> m_decisions;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_calls;
    std::map<std::string, latency_histogram> m_callLatency; /**< Keyed by the kind of call. */
    latency_histogram m_appendLatency;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_elections; /**< Keyed by the reason and the state of the journal. */
    std::map<std::string, load_sums> m_loads; /**< Keyed by purpose. */
    latency_histogram m_electionTime; /**< Of takeovers. */
    std::uint64_t m_takeovers = 0;
};

} // namespace parsleyglade
