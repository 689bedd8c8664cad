#include "records/fleet_transitions.h"

#include "records/fleet_text.h"
#include "records/wave_transitions.h"

#include <algorithm>
#include <charconv>

namespace parsleyglade {

namespace {

using wire::fleet_action;
using verdict = std::optional<skip_reason>;

constexpr verdict applied = std::nullopt;
constexpr std::size_t maximumEntries = 1024;
constexpr std::size_t maximumDrains = 1024;
constexpr std::size_t maximumHosts = maximumFleetHosts;

bool isNameOrEmpty(const std::string &text)
{
    return text.empty() || isFleetName(text);
}

bool isWellFormed(const wire::fleet_record &record)
{
    return record.record != 0 && isNameOrEmpty(record.subject) && isNameOrEmpty(record.dataCentre) && isNameOrEmpty(record.region)
        && isNameOrEmpty(record.fromPool) && isNameOrEmpty(record.toPool) && isNameOrEmpty(record.author) && record.detail.size() <= maximumFleetDetailBytes;
}

std::optional<std::int64_t> parseNumber(const std::string &text)
{
    std::int64_t number = 0;
    const char *end = text.data() + text.size();
    const auto [stopped, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && stopped == end ? std::optional(number) : std::nullopt;
}

std::optional<drain_scope> parseScope(const std::string &text)
{
    if (text == "host") {
        return drain_scope::host;
    }
    if (text == "rack") {
        return drain_scope::rack;
    }
    return text == "data-centre" ? std::optional(drain_scope::data_centre) : std::nullopt;
}

const entry_registration *findActive(const fleet_state &state, std::int64_t incarnation)
{
    const auto found = std::find_if(state.entries.begin(), state.entries.end(),
                                    [incarnation](const auto &entry) { return entry.second.active && entry.second.incarnation == incarnation; });
    return found == state.entries.end() ? nullptr : &found->second;
}

/** The number of registrations is compared, so neither a late nor a repeated registration of an ended process can count. */
verdict applyRegistered(fleet_state &state, const wire::fleet_record &record)
{
    if (!isFleetName(record.subject) || !isFleetName(record.dataCentre) || record.writer == 0) {
        return skip_reason::corrupt;
    }

    const auto found = state.entries.find(record.subject);
    const entry_registration last = found == state.entries.end() ? entry_registration{} : found->second;
    if (record.epoch != last.number || record.writer == last.incarnation || findActive(state, record.writer) != nullptr) {
        return skip_reason::stale_registration;
    }
    if (found == state.entries.end() && state.entries.size() >= maximumEntries) {
        return skip_reason::limit_reached;
    }

    state.entries[record.subject] = {last.number + 1, record.writer, record.dataCentre, record.region, true};
    return applied;
}

verdict applyRetired(fleet_state &state, const wire::fleet_record &record)
{
    const auto found = state.entries.find(record.subject);
    if (found == state.entries.end() || !found->second.active || found->second.incarnation != record.epoch) {
        return skip_reason::unknown_incarnation;
    }
    if (record.writer != record.epoch && record.author.empty()) {
        return skip_reason::retirement_not_confirmed;
    }

    found->second.active = false;
    return applied;
}

verdict applyDrainStarted(fleet_state &state, const wire::fleet_record &record)
{
    const auto scope = parseScope(record.detail);
    if (!scope || !isFleetName(record.subject)) {
        return skip_reason::corrupt;
    }
    if (record.epoch != 0 && record.epoch != state.lastPlannedRecord) {
        return skip_reason::stale_plan;
    }
    if (state.drains.size() >= maximumDrains) {
        return skip_reason::limit_reached;
    }

    const fleet_drain drain{record.record, *scope, record.subject, record.author, record.wallMilliseconds};
    if (!state.drains.emplace(drain.id, drain).second) {
        return skip_reason::duplicate;
    }
    state.lastPlannedRecord = record.record;
    return applied;
}

verdict applyDrainEnded(fleet_state &state, const wire::fleet_record &record)
{
    return state.drains.erase(record.epoch) == 0 ? verdict(skip_reason::unknown_drain) : applied;
}

verdict checkMoveStart(const fleet_state &state, const wire::fleet_record &record, const host_assignment &host)
{
    if (record.epoch != host.epoch || host.isLeaving()) {
        return skip_reason::stale_epoch;
    }
    if (!host.pool.empty() && host.pool != record.fromPool) {
        return skip_reason::wrong_pool;
    }
    const bool fixesPool = record.fromPool == record.toPool;
    if (fixesPool && !host.pool.empty()) {
        return skip_reason::stale_epoch;
    }
    if (!fixesPool && parseNumber(record.detail) != state.lastPlannedRecord) {
        return skip_reason::stale_plan;
    }
    return applied;
}

verdict applyMoveStarted(fleet_state &state, const wire::fleet_record &record)
{
    if (!isFleetName(record.subject) || !isFleetName(record.dataCentre) || !isFleetName(record.fromPool) || !isFleetName(record.toPool)) {
        return skip_reason::corrupt;
    }

    const auto found = state.hosts.find(record.subject);
    const host_assignment last = found == state.hosts.end() ? host_assignment{} : found->second;
    if (const auto refused = checkMoveStart(state, record, last)) {
        return refused;
    }
    if (found == state.hosts.end() && state.hosts.size() >= maximumHosts) {
        return skip_reason::limit_reached;
    }

    const bool fixesPool = record.fromPool == record.toPool;
    state.hosts[record.subject] = {last.epoch + 1, record.fromPool, fixesPool ? std::string{} : record.toPool, record.dataCentre, record.wallMilliseconds, {}};
    if (!fixesPool) {
        state.lastPlannedRecord = record.record;
    }
    return applied;
}

/** The host if it has the move that the record names. */
host_assignment *findMove(fleet_state &state, const wire::fleet_record &record, verdict &refused)
{
    const auto found = state.hosts.find(record.subject);
    if (found == state.hosts.end()) {
        refused = skip_reason::no_move;
        return nullptr;
    }
    if (found->second.epoch != record.epoch) {
        refused = skip_reason::stale_epoch;
        return nullptr;
    }
    if (!found->second.isLeaving()) {
        refused = skip_reason::no_move;
        return nullptr;
    }
    return &found->second;
}

verdict applyMoveAcknowledged(fleet_state &state, const wire::fleet_record &record)
{
    verdict refused;
    host_assignment *host = findMove(state, record, refused);
    if (host == nullptr) {
        return refused;
    }

    const entry_registration *entry = findActive(state, record.writer);
    if (entry == nullptr) {
        return skip_reason::unknown_incarnation;
    }
    if (entry->dataCentre != host->dataCentre) {
        return skip_reason::wrong_data_centre;
    }

    return host->acknowledged.insert(record.writer).second ? applied : verdict(skip_reason::duplicate);
}

/** Ends the move in progress with the host in the given pool. */
void settle(host_assignment &host, const std::string &pool)
{
    host.pool = pool;
    host.toPool.clear();
    host.acknowledged.clear();
    ++host.epoch;
}

verdict applyMoveJoined(fleet_state &state, const wire::fleet_record &record)
{
    verdict refused;
    host_assignment *host = findMove(state, record, refused);
    if (host == nullptr) {
        return refused;
    }
    if (!isAcknowledgedByAll(state, *host)) {
        return skip_reason::acknowledgement_missing;
    }

    settle(*host, std::string(host->toPool));
    return applied;
}

verdict applyMoveCancelled(fleet_state &state, const wire::fleet_record &record)
{
    verdict refused;
    host_assignment *host = findMove(state, record, refused);
    if (host == nullptr) {
        return refused;
    }

    settle(*host, std::string(host->pool));
    return applied;
}

verdict dispatch(fleet_state &state, const wire::fleet_record &record, log_offset offset)
{
    switch (record.action) {
    case fleet_action::entry_registered:
        return applyRegistered(state, record);
    case fleet_action::entry_retired:
        return applyRetired(state, record);
    case fleet_action::drain_started:
        return applyDrainStarted(state, record);
    case fleet_action::drain_ended:
        return applyDrainEnded(state, record);
    case fleet_action::move_started:
        return applyMoveStarted(state, record);
    case fleet_action::move_acknowledged:
        return applyMoveAcknowledged(state, record);
    case fleet_action::move_joined:
        return applyMoveJoined(state, record);
    case fleet_action::move_cancelled:
        return applyMoveCancelled(state, record);
    case fleet_action::wave_planned:
        return applyWavePlanned(state, record, offset);
    case fleet_action::wave_started:
    case fleet_action::wave_paused:
    case fleet_action::wave_aborted:
        return applyWaveChanged(state, record);
    case fleet_action::wave_host_done:
        return applyWaveHostDone(state, record);
    case fleet_action::snapshot:
        break;
    }
    return skip_reason::corrupt;
}

} // namespace

bool isAcknowledgedByAll(const fleet_state &state, const host_assignment &host)
{
    return std::all_of(state.entries.begin(), state.entries.end(), [&host](const auto &entry) {
        return !entry.second.active || entry.second.dataCentre != host.dataCentre || host.acknowledged.contains(entry.second.incarnation);
    });
}

std::optional<skip_reason> applyFleetRecord(fleet_state &state, const wire::fleet_record &record, log_offset offset)
{
    if (!isWellFormed(record)) {
        return skip_reason::corrupt;
    }
    if (std::find(state.recentRecords.begin(), state.recentRecords.end(), record.record) != state.recentRecords.end()) {
        return skip_reason::duplicate;
    }

    const verdict refused = dispatch(state, record, offset);
    if (!refused) {
        state.recentRecords.push_back(record.record);
        if (state.recentRecords.size() > recentFleetRecords) {
            state.recentRecords.pop_front();
        }
    }
    return refused;
}

} // namespace parsleyglade
