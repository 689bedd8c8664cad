#pragma once

#include "teams/team_account.h"

#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace parsleyglade {

/** Counts how many of the waiting tasks of each team could start within its cap. The others need no hosts, and nobody waits for them, however many they are. */
class team_headroom
{
public:
    /** Returns how many of the tasks fit into what is left of the team's cap, and takes them from it. */
    std::int64_t take(const team_account &team, std::int64_t millicoresPerTask, std::int64_t tasks)
    {
        if (team.policy.cap.cpuMillicores == 0 || millicoresPerTask == 0) {
            return tasks;
        }
        std::int64_t &left = m_left.try_emplace(&team, team.freeMillicores()).first->second;
        const std::int64_t fitting = std::min(tasks, left / millicoresPerTask);
        left -= fitting * millicoresPerTask;
        return fitting;
    }

private:
    std::unordered_map<const team_account *, std::int64_t> m_left; /**< Processor capacity in millicores. */
};

} // namespace parsleyglade
