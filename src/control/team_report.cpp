#include "control/team_report.h"

#include <nlohmann/json.hpp>

namespace parsleyglade {

namespace {

constexpr std::size_t maximumLabels = 100;

nlohmann::json toJson(const resources &amount)
{
    return {{"millicores", amount.cpuMillicores}, {"memoryMegabytes", amount.memoryMegabytes}, {"accelerators", amount.accelerators}};
}

gauge_value toGauge(std::int64_t value)
{
    return gauge_value{static_cast<double>(value)};
}

counter_value toCounter(std::uint64_t value)
{
    return counter_value{static_cast<double>(value)};
}

void add(team_status &sum, const team_status &team)
{
    sum.used += team.used;
    sum.waitingTasks += team.waitingTasks;
    sum.counters.acceptedJobs += team.counters.acceptedJobs;
    sum.counters.acceptedBeyondRate += team.counters.acceptedBeyondRate;
    sum.counters.refusedBeyondRate += team.counters.refusedBeyondRate;
    sum.counters.refusedForWait += team.counters.refusedForWait;
    sum.counters.refusedForCap += team.counters.refusedForCap;
    sum.counters.heldByCap += team.counters.heldByCap;
}

} // namespace

std::string renderTeams(const team_statuses &teams, std::int64_t configurationVersion)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[name, team] : teams) {
        rows.push_back({{"name", name},
                        {"priority", team.policy.priority},
                        {"weight", team.policy.weight},
                        {"keys", team.policy.keyDigests.size()},
                        {"cap", toJson(team.policy.cap)},
                        {"used", toJson(team.used)},
                        {"weightedShare", team.weightedShare},
                        {"waitingJobs", team.waitingJobs},
                        {"waitingTasks", team.waitingTasks},
                        {"waitingMillicores", team.waitingMillicores},
                        {"acceptedJobs", team.counters.acceptedJobs},
                        {"acceptedBeyondRate", team.counters.acceptedBeyondRate},
                        {"refusedBeyondRate", team.counters.refusedBeyondRate},
                        {"refusedForWait", team.counters.refusedForWait},
                        {"refusedForCap", team.counters.refusedForCap},
                        {"heldByCap", team.counters.heldByCap}});
    }
    return nlohmann::json{{"configurationVersion", configurationVersion}, {"teams", rows}}.dump();
}

std::vector<metric> teamMetrics(const team_statuses &teams)
{
    team_statuses shown;
    for (const auto &[name, team] : teams) {
        add(shown[shown.size() < maximumLabels ? name : "other"], team);
    }
    metric jobs{"parsleyglade_team_jobs_total", "Jobs accepted and refused since the leader took over, by team.", {}};
    metric used{"parsleyglade_team_used_millicores", "Processor capacity that the tasks of a team use on all executors.", {}};
    metric waiting{"parsleyglade_team_waiting_tasks", "Tasks of a team that could start if there was capacity.", {}};
    metric held{
        "parsleyglade_team_held_by_cap_total", "Seconds in which a team was at its cap while a task could have started, since the leader took over.", {}};
    for (const auto &[name, team] : shown) {
        const team_counters &counters = team.counters;
        jobs.samples.push_back({{{"team", name}, {"event", "accepted"}}, toCounter(counters.acceptedJobs)});
        jobs.samples.push_back({{{"team", name}, {"event", "accepted-beyond-rate"}}, toCounter(counters.acceptedBeyondRate)});
        jobs.samples.push_back({{{"team", name}, {"event", "refused-beyond-rate"}}, toCounter(counters.refusedBeyondRate)});
        jobs.samples.push_back({{{"team", name}, {"event", "refused-for-wait"}}, toCounter(counters.refusedForWait)});
        jobs.samples.push_back({{{"team", name}, {"event", "refused-for-cap"}}, toCounter(counters.refusedForCap)});
        used.samples.push_back({{{"team", name}}, toGauge(team.used.cpuMillicores)});
        waiting.samples.push_back({{{"team", name}}, toGauge(team.waitingTasks)});
        held.samples.push_back({{{"team", name}}, toCounter(counters.heldByCap)});
    }
    return {jobs, used, waiting, held};
}

std::string describeTeam(const team_status &team)
{
    return " used-millicores=" + std::to_string(team.used.cpuMillicores) + " cap-millicores=" + std::to_string(team.policy.cap.cpuMillicores)
        + " waiting-jobs=" + std::to_string(team.waitingJobs) + " waiting-tasks=" + std::to_string(team.waitingTasks)
        + " accepted=" + std::to_string(team.counters.acceptedJobs) + " accepted-beyond-rate=" + std::to_string(team.counters.acceptedBeyondRate)
        + " refused-beyond-rate=" + std::to_string(team.counters.refusedBeyondRate) + " refused-for-wait=" + std::to_string(team.counters.refusedForWait)
        + " refused-for-cap=" + std::to_string(team.counters.refusedForCap) + " held-by-cap=" + std::to_string(team.counters.heldByCap);
}

} // namespace parsleyglade
