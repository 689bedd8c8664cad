#include "operator_client/teams_text.h"

#include "operator_client/json_fields.h"
#include "operator_client/text_columns.h"

#include <cmath>

namespace parsleyglade {

namespace {

std::string coresOf(const nlohmann::json &amount)
{
    constexpr std::int64_t millicoresPerCore = 1'000;
    constexpr std::int64_t millicoresPerTenth = 100;
    const std::int64_t millicores = integerField(amount, "millicores");
    return std::to_string(millicores / millicoresPerCore) + "." + std::to_string(millicores % millicoresPerCore / millicoresPerTenth);
}

std::string count(const nlohmann::json &team, std::string_view key)
{
    return std::to_string(integerField(team, key));
}

} // namespace

std::string teamsText(const nlohmann::json &document)
{
    text_columns columns({"team", "weight", "cores used", "cap", "waiting jobs", "tasks", "accepted", "beyond rate", "refused: rate", "wait", "cap"});
    for (const nlohmann::json &team : arrayField(document, "teams")) {
        const nlohmann::json &cap = objectField(team, "cap");
        columns.add({textField(team, "name"), std::to_string(std::llround(numberField(team, "weight"))), coresOf(objectField(team, "used")),
                     integerField(cap, "millicores") == 0 ? "none" : coresOf(cap), count(team, "waitingJobs"), count(team, "waitingTasks"),
                     count(team, "acceptedJobs"), count(team, "acceptedBeyondRate"), count(team, "refusedBeyondRate"), count(team, "refusedForWait"),
                     count(team, "refusedForCap")});
    }
    const std::string rows = columns.text();
    const std::string heading = "teams, configuration " + count(document, "configurationVersion");
    return rows.empty() ? heading + ": none\n" : heading + ":\n" + rows;
}

} // namespace parsleyglade
