#include "records/fleet_fold.h"

#include "core/digest.h"
#include "records/fleet_transitions.h"
#include "wire/codec.h"

#include <algorithm>
#include <numeric>

namespace parsleyglade {

namespace {

/** Number of records whose results are retained, so that their writers can query them. */
constexpr std::size_t maximumRecordResults = 1024;

} // namespace

std::optional<fleet_fold_status> fleet_fold::checkOffset(log_offset offset) const
{
    if (offset < m_nextOffset) {
        return fleet_fold_status::ignored;
    }
    return offset > m_nextOffset ? std::optional(fleet_fold_status::gap) : std::nullopt;
}

fleet_fold_status fleet_fold::apply(log_offset offset, std::string_view payload)
{
    if (const auto status = checkOffset(offset)) {
        return *status;
    }

    const auto record = decode<wire::fleet_record>(payload);
    if (record) {
        return apply(offset, *record);
    }

    ++m_nextOffset;
    return recordResult(0, skip_reason::corrupt);
}

fleet_fold_status fleet_fold::apply(log_offset offset, const wire::fleet_record &record)
{
    if (const auto status = checkOffset(offset)) {
        return *status;
    }

    ++m_nextOffset;
    if (record.action == wire::fleet_action::snapshot) {
        return recordResult(record.record, applySnapshot(record, offset));
    }
    if (m_awaitsSnapshot) {
        return fleet_fold_status::skipped;
    }
    return recordResult(record.record, applyFleetRecord(m_state, record, offset));
}

std::optional<skip_reason> fleet_fold::applySnapshot(const wire::fleet_record &record, log_offset offset)
{
    if (record.epoch < 0 || static_cast<log_offset>(record.epoch) != offset) {
        return skip_reason::stale_snapshot;
    }
    if (!m_awaitsSnapshot) {
        return record.subject == toHex(digest()) ? std::nullopt : std::optional(skip_reason::snapshot_mismatch);
    }

    auto state = fleet_state::fromJson(record.detail);
    if (!state || toHex(sha256(state->toJson())) != record.subject) {
        return skip_reason::snapshot_mismatch;
    }
    m_state = std::move(*state);
    m_awaitsSnapshot = false;
    return std::nullopt;
}

fleet_fold_status fleet_fold::recordResult(std::int64_t record, std::optional<skip_reason> reason)
{
    if (reason) {
        ++m_skipped.at(static_cast<std::size_t>(*reason));
    }
    // The result of a duplicate does not replace the result of the record itself.
    if (record != 0 && reason != skip_reason::duplicate) {
        m_seen.push_back({record, {!reason, reason}});
        if (m_seen.size() > maximumRecordResults) {
            m_seen.pop_front();
        }
    }
    return reason ? fleet_fold_status::skipped : fleet_fold_status::applied;
}

void fleet_fold::skipTo(log_offset earliest)
{
    if (earliest > m_nextOffset) {
        m_nextOffset = earliest;
        m_awaitsSnapshot = true;
    }
}

const fleet_state &fleet_fold::state() const
{
    return m_state;
}

log_offset fleet_fold::nextOffset() const
{
    return m_nextOffset;
}

bool fleet_fold::isAwaitingSnapshot() const
{
    return m_awaitsSnapshot;
}

std::string fleet_fold::digest() const
{
    return sha256(m_state.toJson());
}

bool fleet_fold::isRegistered(incarnation_id incarnation) const
{
    return std::any_of(m_state.entryHosts.begin(), m_state.entryHosts.end(),
                       [incarnation](const auto &entry) { return entry.second.active && entry.second.incarnation == static_cast<std::int64_t>(incarnation); });
}

bool fleet_fold::isDrained(const std::string &host) const
{
    const auto found = m_state.hosts.find(host);
    return found != m_state.hosts.end() && found->second.isLeaving() && isAcknowledgedByAll(m_state, found->second);
}

std::vector<std::string> fleet_fold::missingAcknowledgements(const std::string &host) const
{
    const auto found = m_state.hosts.find(host);
    if (found == m_state.hosts.end() || !found->second.isLeaving()) {
        return {};
    }

    std::vector<std::string> missing;
    for (const auto &[name, entry] : m_state.entryHosts) {
        if (entry.active && entry.dataCentre == found->second.dataCentre && !found->second.acknowledged.contains(entry.incarnation)) {
            missing.push_back(name);
        }
    }
    return missing;
}

std::optional<fleet_fold::record_result> fleet_fold::resultOf(std::int64_t record) const
{
    const auto found = std::find_if(m_seen.rbegin(), m_seen.rend(), [record](const seen_record &seen) { return seen.record == record; });
    return found == m_seen.rend() ? std::nullopt : std::optional(found->result);
}

std::uint64_t fleet_fold::skipped() const
{
    return std::accumulate(m_skipped.begin(), m_skipped.end(), std::uint64_t{0});
}

std::uint64_t fleet_fold::skipped(skip_reason reason) const
{
    return m_skipped.at(static_cast<std::size_t>(reason));
}

wire::fleet_record fleet_fold::snapshot(incarnation_id writer, std::int64_t record, std::int64_t wallMilliseconds) const
{
    wire::fleet_record snapshot;
    snapshot.action = wire::fleet_action::snapshot;
    snapshot.writer = static_cast<std::int64_t>(writer);
    snapshot.record = record;
    snapshot.epoch = static_cast<std::int64_t>(m_nextOffset);
    snapshot.detail = m_state.toJson();
    snapshot.subject = toHex(sha256(snapshot.detail));
    snapshot.wallMilliseconds = wallMilliseconds;
    return snapshot;
}

} // namespace parsleyglade
