#include "records/fleet_transitions.h"

#include "records/fleet_text.h"
#include "records/wave_transitions.h"

#include <algorithm>
#include <charconv>

namespace parsleyglade {

namespace {

using wire::fleet_action;
using optional_skip_reason = std::optional<skip_reason>;

constexpr optional_skip_reason applied = std::nullopt;
constexpr std::size_t maximumEntryHosts = 1024;
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

const entry_registration *findActiveRegistration(const fleet_state &state, std::int64_t incarnation)
{
    const auto found = std::find_if(state.entryHosts.begin(), state.entryHosts.end(),
                                    [incarnation](const auto &entry) { return entry.second.active && entry.second.incarnation == incarnation; });
    return found == state.entryHosts.end() ? nullptr : &found->second;
}

/** Compares the number of registrations, so that neither a late nor a repeated registration of an ended process takes effect. */
optional_skip_reason applyRegistered(fleet_state &state, const wire::fleet_record &record)
{
    if (!isFleetName(record.subject) || !isFleetName(record.dataCentre) || record.writer == 0) {
        return skip_reason::corrupt;
    }

    const auto found = state.entryHosts.find(record.subject);
    const entry_registration last = found == state.entryHosts.end() ? entry_registration{} : found->second;
    if (record.epoch != last.registrationCount || record.writer == last.incarnation || findActiveRegistration(state, record.writer) != nullptr) {
        return skip_reason::stale_registration;
    }
    if (found == state.entryHosts.end() && state.entryHosts.size() >= maximumEntryHosts) {
        return skip_reason::limit_reached;
    }

    state.entryHosts[record.subject] = {last.registrationCount + 1, record.writer, record.dataCentre, record.region, true};
    return applied;
}

optional_skip_reason applyRetired(fleet_state &state, const wire::fleet_record &record)
{
    const auto found = state.entryHosts.find(record.subject);
    if (found == state.entryHosts.end() || !found->second.active || found->second.incarnation != record.epoch) {
        return skip_reason::unknown_incarnation;
    }
    if (record.writer != record.epoch && record.author.empty()) {
        return skip_reason::retirement_not_confirmed;
    }

    found->second.active = false;
    return applied;
}

optional_skip_reason applyDrainStarted(fleet_state &state, const wire::fleet_record &record)
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

optional_skip_reason applyDrainEnded(fleet_state &state, const wire::fleet_record &record)
{
    return state.drains.erase(record.epoch) == 0 ? optional_skip_reason(skip_reason::unknown_drain) : applied;
}

optional_skip_reason checkMoveStart(const fleet_state &state, const wire::fleet_record &record, const host_assignment &host)
{
    if (record.epoch != host.epoch || host.isLeaving()) {
        return skip_reason::stale_epoch;
    }
    if (!host.pool.empty() && host.pool != record.fromPool) {
        return skip_reason::wrong_pool;
    }
    const bool isInitialAssignment = record.fromPool == record.toPool;
    if (isInitialAssignment && !host.pool.empty()) {
        return skip_reason::stale_epoch;
    }
    if (!isInitialAssignment && parseNumber(record.detail) != state.lastPlannedRecord) {
        return skip_reason::stale_plan;
    }
    return applied;
}

optional_skip_reason applyMoveStarted(fleet_state &state, const wire::fleet_record &record)
{
    if (!isFleetName(record.subject) || !isFleetName(record.dataCentre) || !isFleetName(record.fromPool) || !isFleetName(record.toPool)) {
        return skip_reason::corrupt;
    }

    const auto found = state.hosts.find(record.subject);
    const host_assignment last = found == state.hosts.end() ? host_assignment{} : found->second;
    if (const auto skipReason = checkMoveStart(state, record, last)) {
        return skipReason;
    }
    if (found == state.hosts.end() && state.hosts.size() >= maximumHosts) {
        return skip_reason::limit_reached;
    }

    const bool isInitialAssignment = record.fromPool == record.toPool;
    state.hosts[record.subject]
        = {last.epoch + 1, record.fromPool, isInitialAssignment ? std::string{} : record.toPool, record.dataCentre, record.wallMilliseconds, {}};
    if (!isInitialAssignment) {
        state.lastPlannedRecord = record.record;
    }
    return applied;
}

/** Returns the host if the record refers to its move in progress; otherwise returns nullptr and sets the reason to skip the record. */
host_assignment *findMove(fleet_state &state, const wire::fleet_record &record, optional_skip_reason &skipReason)
{
    const auto found = state.hosts.find(record.subject);
    if (found == state.hosts.end()) {
        skipReason = skip_reason::no_move;
        return nullptr;
    }
    if (found->second.epoch != record.epoch) {
        skipReason = skip_reason::stale_epoch;
        return nullptr;
    }
    if (!found->second.isLeaving()) {
        skipReason = skip_reason::no_move;
        return nullptr;
    }
    return &found->second;
}

optional_skip_reason applyMoveAcknowledged(fleet_state &state, const wire::fleet_record &record)
{
    optional_skip_reason skipReason;
    host_assignment *host = findMove(state, record, skipReason);
    if (host == nullptr) {
        return skipReason;
    }

    const entry_registration *entry = findActiveRegistration(state, record.writer);
    if (entry == nullptr) {
        return skip_reason::unknown_incarnation;
    }
    if (entry->dataCentre != host->dataCentre) {
        return skip_reason::wrong_data_centre;
    }

    return host->acknowledged.insert(record.writer).second ? applied : optional_skip_reason(skip_reason::duplicate);
}

/** Ends the move in progress and assigns the host to the given pool. */
void endMove(host_assignment &host, const std::string &pool)
{
    host.pool = pool;
    host.toPool.clear();
    host.acknowledged.clear();
    ++host.epoch;
}

optional_skip_reason applyMoveJoined(fleet_state &state, const wire::fleet_record &record)
{
    optional_skip_reason skipReason;
    host_assignment *host = findMove(state, record, skipReason);
    if (host == nullptr) {
        return skipReason;
    }
    if (!isAcknowledgedByAll(state, *host)) {
        return skip_reason::acknowledgement_missing;
    }

    endMove(*host, std::string(host->toPool));
    return applied;
}

optional_skip_reason applyMoveCancelled(fleet_state &state, const wire::fleet_record &record)
{
    optional_skip_reason skipReason;
    host_assignment *host = findMove(state, record, skipReason);
    if (host == nullptr) {
        return skipReason;
    }

    endMove(*host, std::string(host->pool));
    return applied;
}

optional_skip_reason applyAction(fleet_state &state, const wire::fleet_record &record, log_offset offset)
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
    return std::all_of(state.entryHosts.begin(), state.entryHosts.end(), [&host](const auto &entry) {
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

    const optional_skip_reason skipReason = applyAction(state, record, offset);
    if (!skipReason) {
        state.recentRecords.push_back(record.record);
        if (state.recentRecords.size() > maximumRecentRecords) {
            state.recentRecords.pop_front();
        }
    }
    return skipReason;
}

} // namespace parsleyglade
