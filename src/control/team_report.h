#pragma once

#include "reports/metric.h"
#include "scheduler/team_status.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Statuses of the teams by name. */
using team_statuses = std::map<std::string, team_status>;

/** Returns the states of the teams as a JSON document, which `parsleyglade teams` shows. */
std::string renderTeams(const team_statuses &teams, std::int64_t configurationVersion);

/** Returns the states of the teams as metrics. So that their number is bounded, teams behind the first hundred in the order of names are summed as "other". */
std::vector<metric> teamMetrics(const team_statuses &teams);

/** Returns the key=value pairs of a log line about a team. */
std::string describeTeam(const team_status &team);

} // namespace parsleyglade
