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
 * Deterministic state machine that replays (folds) the records of the fleet stream in offset order.
 *
 * It guarantees that no two entry hosts use the same host for different pools, whichever offsets they have reached, by three rules:
 *  1. An incarnation uses endpoints only while its own fold contains its registration and not its retirement (isRegistered()). It uses a
 *     host only for the pool that its own fold states, and not at all while the host is leaving.
 *  2. The offset of a fold never decreases, and an incarnation acknowledges a move only after it has folded the start of the move and has
 *     no request in flight to the host.
 *  3. A move_joined record takes effect only if every incarnation that is registered in the host's data centre at that offset, and not
 *     retired, has acknowledged this epoch of the move at a lower offset.
 *
 * Proof: consider a move_joined record that takes effect at offset j, and an incarnation that can still use an endpoint. If it was
 * registered below j, it has acknowledged the move, so it has folded the start and does not use the host for the old pool. If it was
 * registered above j, it has folded its own registration and therefore j, and uses the new pool. If it was retired below j, its process
 * has ended: it retired itself at a graceful stop after its last request, a new process has replaced it, or an operator confirmed its end.
 *
 * An entry host that starts while the log is unavailable cannot register, so no move waits for its acknowledgement, and by rule 1 it uses
 * no endpoint. It forwards requests to registered peers until it has folded its own registration; records received from peers do not
 * replace that.
 *
 * Concurrent planners cannot exceed a budget: each planned start states the identifier of the last record that removed hosts from service.
 * If two planners decide on the same state, the second record is skipped. A count of records would not suffice: after two records of one
 * planner, the third record in another planner's sequence would match the count, although that planner knew neither of the two.
 *
 * @see fleet_record_builder for the fields of each record
 */
class fleet_fold
{
public:
    fleet_fold() = default;

    /** Applies an encoded record. Bytes that cannot be decoded are skipped and counted; never throws. */
    fleet_fold_status apply(log_offset offset, std::string_view payload);

    /** Applies a decoded record. */
    fleet_fold_status apply(log_offset offset, const wire::fleet_record &record);

    /**
     * Continues at a later offset because retention has removed the records before it. Until a snapshot is applied, the state remains
     * unchanged, and records are skipped without being counted. An offset that is not above nextOffset() has no effect.
     */
    void skipTo(log_offset earliest);

    const fleet_state &state() const;

    /** Returns the offset of the next record to apply. */
    log_offset nextOffset() const;

    /** Whether records are missing, so that the state does not change until a snapshot is applied. */
    bool isAwaitingSnapshot() const;

    /** Returns the SHA-256 digest of the state, 32 bytes; equal in all processes that folded the same records. */
    std::string digest() const;

    /** Whether the incarnation is registered and not retired, and therefore may use endpoints. */
    bool isRegistered(incarnation_id incarnation) const;

    /** Whether the host is leaving its pool and every registered entry host of its data centre has acknowledged the move. */
    bool isDrained(const std::string &host) const;

    /** Returns the entry hosts that have not yet acknowledged the host's move; empty if no move is in progress. */
    std::vector<std::string> missingAcknowledgements(const std::string &host) const;

    /** Result of one record: applied, or skipped for a reason. */
    struct record_result
    {
        bool isApplied = false;
        std::optional<skip_reason> reason;
    };

    /** Returns the result of the record with this identifier, or nothing if it is not among the most recent records. */
    std::optional<record_result> resultOf(std::int64_t record) const;

    /** Returns the number of records skipped since the fold was created, in total or for one reason. */
    std::uint64_t skipped() const;
    std::uint64_t skipped(skip_reason reason) const;

    /** Creates a snapshot record of the current state. It takes effect only if it is appended directly after the last folded record. */
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
