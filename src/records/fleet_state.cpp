#include "records/fleet_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace parsleyglade {

using nlohmann::json;

// Found by nlohmann::json through argument-dependent lookup.
// NOLINTBEGIN(readability-identifier-naming)

static void to_json(json &target, const entry_registration &value)
{
    target = json::array({value.registrationCount, value.incarnation, value.dataCentre, value.region, value.active});
}

static void from_json(const json &source, entry_registration &value)
{
    value = {source.at(0), source.at(1), source.at(2), source.at(3), source.at(4)};
}

static void to_json(json &target, const fleet_drain &value)
{
    target = json::array({value.id, static_cast<int>(value.scope), value.subject, value.author, value.wallMilliseconds});
}

static void from_json(const json &source, fleet_drain &value)
{
    value = {source.at(0), static_cast<drain_scope>(source.at(1).get<int>()), source.at(2), source.at(3), source.at(4)};
}

static void to_json(json &target, const host_assignment &value)
{
    target = json::array({value.epoch, value.pool, value.toPool, value.dataCentre, value.startedWallMilliseconds, value.acknowledged});
}

static void from_json(const json &source, host_assignment &value)
{
    value = {source.at(0), source.at(1), source.at(2), source.at(3), source.at(4), source.at(5).get<std::set<std::int64_t>>()};
}

static void to_json(json &target, const maintenance_wave &value)
{
    target = json::array({static_cast<int>(value.state), value.version, value.batches, value.completedHosts, value.author, value.reason, value.changedBy,
                          value.changedWallMilliseconds, value.planOffset});
}

static void from_json(const json &source, maintenance_wave &value)
{
    value.state = static_cast<wave_state>(source.at(0).get<int>());
    value.version = source.at(1);
    value.batches = source.at(2).get<std::vector<std::vector<std::string>>>();
    value.completedHosts = source.at(3).get<std::set<std::string>>();
    value.author = source.at(4);
    value.reason = source.at(5);
    value.changedBy = source.at(6);
    value.changedWallMilliseconds = source.at(7);
    value.planOffset = source.at(8);
}

// NOLINTEND(readability-identifier-naming)

namespace {

/** The library writes maps with integer keys as arrays of pairs. The text is canonical because the maps are ordered. */
json asJson(const fleet_state &state)
{
    return {{"plan", state.lastPlannedRecord}, {"entries", state.entryHosts}, {"drains", state.drains}, {"hosts", state.hosts}, {"waves", state.waves},
            {"recent", state.recentRecords}};
}

bool hasKnownEnumerators(const fleet_state &state)
{
    return std::all_of(state.drains.begin(), state.drains.end(), [](const auto &entry) { return entry.second.scope <= drain_scope::data_centre; })
        && std::all_of(state.waves.begin(), state.waves.end(), [](const auto &entry) { return entry.second.state <= wave_state::finished; });
}

} // namespace

std::string fleet_state::toJson() const
{
    return asJson(*this).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<fleet_state> fleet_state::fromJson(const std::string &text)
{
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return std::nullopt;
    }

    try {
        fleet_state state;
        state.lastPlannedRecord = document.at("plan");
        state.entryHosts = document.at("entries").get<std::map<std::string, entry_registration>>();
        state.drains = document.at("drains").get<std::map<std::int64_t, fleet_drain>>();
        state.hosts = document.at("hosts").get<std::map<std::string, host_assignment>>();
        state.waves = document.at("waves").get<std::map<std::string, maintenance_wave>>();
        state.recentRecords = document.at("recent").get<std::deque<std::int64_t>>();
        return hasKnownEnumerators(state) ? std::optional(std::move(state)) : std::nullopt;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

} // namespace parsleyglade
