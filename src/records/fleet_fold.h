#pragma once

#include "core/identifiers.h"
#include "records/fleet_fold_status.h"
#include "records/fleet_state.h"
#include "records/skip_reason.h"
#include <parsleyglade/parsleyglade_types.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/**
 * Replays the records of the fleet stream in order of offset.
 *
 * No two entry hosts use one host for two pools, whatever their positions in the stream. The rule has three parts:
 *  1. An incarnation uses endpoints only while its own fold holds its registration and not its retirement (isRegistered()), and
 *     uses a host only for the pool that its own fold gives, and for none while the host is leaving.
 *  2. A position never goes backwards, and an incarnation acknowledges a move only after it has folded its start and has nothing
 *     in flight on the host.
 *  3. move_joined counts only if every incarnation that is registered in the host's data centre at that offset, and not retired,
 *     has acknowledged this epoch of the move at a lower offset.
 *
 * Take a counted move_joined at offset j and an incarnation that can still use an endpoint. If it was registered below j, it has
 * acknowledged, so it has folded the start and does not use the host for the old pool. If it registered above j, it has folded its
 * own registration, so it has folded j and sees the new pool. If it was retired below j, its process has ended: it wrote its own
 * graceful stop after its last request, a new process has taken its place, or an operator confirmed its end.
 *
 * An entry host that starts while the log is down can't be in the log, so nobody waits for it, and by part 1 it uses no endpoint.
 * It passes requests to registered peers until it has folded its own registration; records that peers send it don't replace that.
 *
 * Planned work never exceeds a budget through a race: each planned start names the record that last took hosts away, so the second
 * of two planners that decided on the same state is skipped. A count would not do: after two records of one planner, the third of
 * another planner's chain would match it, although that planner knew none of the two. @see fleet_record_builder for the fields of each record.
 */
class fleet_fold
{
public:
    fleet_fold() = default;

    /** Applies an encoded record. Bytes that don't decode are skipped and counted; never throws. */
    fleet_fold_status apply(log_offset offset, std::string_view payload);

    /** Applies a decoded record. */
    fleet_fold_status apply(log_offset offset, const wire::fleet_record &record);

    /**
     * Goes on at a later offset because retention has removed the records before it. The state stays as it is, and records are
     * passed over without being counted, until a snapshot.
     */
    void skipTo(log_offset earliest);

    const fleet_state &state() const;

    /** The offset that the fold needs next. */
    log_offset nextOffset() const;

    /** Whether records are missing and the state waits for a snapshot. */
    bool isAwaitingSnapshot() const;

    /** SHA-256 of the state; equal in every process that folded the same records. */
    std::string digest() const;

    /** Whether the incarnation is registered and not retired, and so may use endpoints. */
    bool isRegistered(incarnation_id incarnation) const;

    /** Whether a host is leaving and every registered entry host of its data centre has acknowledged. */
    bool isDrained(const std::string &host) const;

    /** Entry hosts whose acknowledgement the host's move still waits for. */
    std::vector<std::string> missingAcknowledgements(const std::string &host) const;

    /** What became of a record with this identifier: applied, or skipped with a reason. Nothing when it has not been seen lately. */
    struct record_result
    {
        bool isApplied = false;
        std::optional<skip_reason> reason;
    };
    std::optional<record_result> resultOf(std::int64_t record) const;

    /** Records skipped since the process started, in all and for one reason. */
    std::uint64_t skipped() const;
    std::uint64_t skipped(skip_reason reason) const;

    /** A snapshot of the present state. It counts only if it is appended directly after the last folded record. */
    wire::fleet_record snapshot(incarnation_id writer, std::int64_t record, std::int64_t wallMilliseconds) const;

private:
    struct seen_record
    {
        std::int64_t record = 0;
        record_result result;
    };

    std::optional<fleet_fold_status> checkOffset(log_offset offset) const;
    std::optional<skip_reason> applySnapshot(const wire::fleet_record &record, log_offset offset);
    fleet_fold_status recordResult(std::int64_t record, std::optional<skip_reason> reason);

    fleet_state m_state;
    log_offset m_nextOffset = 0;
    bool m_awaitsSnapshot = false;
    std::deque<seen_record> m_seen;
    std::array<std::uint64_t, 32> m_skipped{};
};

} // namespace parsleyglade
