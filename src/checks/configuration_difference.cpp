#include "checks/configuration_difference.h"

#include <algorithm>
#include <map>
#include <sstream>

namespace parsleyglade {

namespace {

using field_values = std::vector<std::pair<std::string, std::string>>;

std::string toText(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

std::string toText(bool value)
{
    return value ? "true" : "false";
}

std::string toText(const resources &amount)
{
    return std::to_string(amount.cpuMillicores) + " millicores, " + std::to_string(amount.memoryMegabytes) + " MB, " + std::to_string(amount.accelerators)
        + " accelerators";
}

std::string toText(const std::optional<advice_policy> &advice)
{
    if (!advice) {
        return "none";
    }
    return std::to_string(advice->decisionMilliseconds) + " ms, " + std::to_string(advice->perExecutorMilliseconds) + " ms an executor, valid "
        + std::to_string(advice->validMilliseconds) + " ms";
}

field_values fieldsOf(const queue_policy &queue)
{
    return {{"host", queue.host},
            {"pathPrefix", queue.pathPrefix},
            {"service", queue.service},
            {"priority", std::to_string(queue.priority)},
            {"maximumAttempts", std::to_string(queue.maximumAttempts)},
            {"stretch", toText(queue.stretch)},
            {"targetMilliseconds", std::to_string(queue.targetMilliseconds)},
            {"advice", toText(queue.advice)},
            {"public", toText(queue.isPublic)}};
}

field_values fieldsOf(const service_policy &service)
{
    return {{"checksCapacity", toText(service.checksCapacity)}, {"standby", toText(service.standby)}};
}

field_values fieldsOf(const team_policy &team)
{
    return {{"priority", std::to_string(team.priority)}, {"weight", toText(team.weight)}, {"cap", toText(team.cap)}};
}

void addKeyDifference(const queue_policy &, const queue_policy &, entry_difference &)
{
}

void addKeyDifference(const service_policy &, const service_policy &, entry_difference &)
{
}

void addKeyDifference(const team_policy &before, const team_policy &after, entry_difference &difference)
{
    const auto countMissing = [](const team_policy &from, const team_policy &in) {
        return std::count_if(from.keyDigests.begin(), from.keyDigests.end(),
                             [&](const std::string &digest) { return std::find(in.keyDigests.begin(), in.keyDigests.end(), digest) == in.keyDigests.end(); });
    };
    const auto withdrawn = countMissing(before, after);
    const auto added = countMissing(after, before);
    if (withdrawn + added > 0) {
        difference.fields.push_back(
            {"keys", std::to_string(before.keyDigests.size()),
             std::to_string(after.keyDigests.size()) + " (" + std::to_string(added) + " new, " + std::to_string(withdrawn) + " withdrawn)"});
    }
}

template <typename Entry> std::map<std::string, const Entry *> byName(const std::vector<Entry> &entries)
{
    std::map<std::string, const Entry *> sorted;
    for (const Entry &entry : entries) {
        sorted.try_emplace(entry.name, &entry);
    }
    return sorted;
}

template <typename Entry> void compareEntry(const std::string &kind, const Entry &before, const Entry &after, std::vector<entry_difference> &differences)
{
    entry_difference difference{entry_change::changed, kind, after.name, {}};
    const field_values old = fieldsOf(before);
    const field_values now = fieldsOf(after);
    for (std::size_t number = 0; number < now.size(); ++number) {
        if (old[number].second != now[number].second) {
            difference.fields.push_back({now[number].first, old[number].second, now[number].second});
        }
    }
    addKeyDifference(before, after, difference);
    if (!difference.fields.empty()) {
        differences.push_back(std::move(difference));
    }
}

template <typename Entry>
void compareEntries(const std::string &kind, const std::vector<Entry> &inForce, const std::vector<Entry> &next, std::vector<entry_difference> &differences)
{
    const auto before = byName(inForce);
    const auto after = byName(next);
    for (const auto &[name, entry] : before) {
        const auto found = after.find(name);
        if (found == after.end()) {
            differences.push_back({entry_change::removed, kind, name, {}});
        } else {
            compareEntry(kind, *entry, *found->second, differences);
        }
    }
    for (const auto &[name, entry] : after) {
        if (!before.contains(name)) {
            differences.push_back({entry_change::added, kind, name, {}});
        }
    }
}

} // namespace

std::vector<entry_difference> compareConfigurations(const queue_configuration &inForce, const queue_configuration &next)
{
    std::vector<entry_difference> differences;
    compareEntries("queue", inForce.queues, next.queues, differences);
    compareEntries("service", inForce.services, next.services, differences);
    compareEntries("team", inForce.teams, next.teams, differences);
    return differences;
}

} // namespace parsleyglade
