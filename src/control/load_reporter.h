#pragma once

#include "control/leader_load.h"
#include "reports/metric.h"
#include "runtime/logger.h"
#include "scheduler/scheduler.h"

#include <array>
#include <vector>

namespace parsleyglade {

/** Reports the work of the leader: as log lines that say what has changed since the last ones, and as metrics since it took over. The lines tell in each
    second of an overload what the leader spends its time on and what waits; @see docs/OPERATIONS.md */
class load_reporter
{
public:
    /** @param state, load must outlive the reporter */
    load_reporter(const scheduler &state, const leader_load &load);

    /** Writes one line for the leader, one for each service, and one for each team with waiting tasks. Looks at all executors and unfinished jobs, so call it
     * rarely. */
    void writeLines(time_point now);

    /** Counters since the takeover, and gauges of the services. */
    std::vector<metric> collect(time_point now) const;

private:
    std::string describeParts();
    std::string describeWork();
    std::string describeRelays();

    const scheduler &m_state;
    const leader_load &m_load;
    std::array<leader_load::part_load, leaderPartNames.size()> m_lastParts{};
    duration m_lastLoopDelay{};
    relay_counters m_lastRelays;
    scheduler_counters m_lastCounters;
    logger m_log{"load"};
};

} // namespace parsleyglade
