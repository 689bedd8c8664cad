#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"

namespace parsleyglade {

/**
 * Keeps a claim fold up to date by reading its stream.
 *
 * It reads the stream in offset order. If retention has removed records that were not read yet, it scans the rest of the stream for the newest complete
 * snapshot and continues from there.
 */
class stream_reader
{
public:
    /** Starts a new catch-up: isCaughtUp() is false until a read reaches the head of the stream. */
    void startCatchUp();

    /** Handles the response to a read from readFrom(). Returns the applied and corrupt records in order. */
    std::vector<fold_result> handleResponse(const read_response &response);

    /** Applies a record that this process has appended itself. Has no effect, and reports a gap, while scanning. */
    fold_result applyOwn(log_offset offset, std::string_view payload);

    /** Offset at which the next read has to start. */
    log_offset readFrom() const;

    /** Whether the reader is scanning for a snapshot because retention has removed records that were not read. */
    bool isScanning() const;

    /** Whether the fold has reached the head known to some replica. Replicas may be stale; only an append by this process reveals the actual head. */
    bool isCaughtUp() const;

    const claim_fold &fold() const;

private:
    void startScan(log_offset earliest);
    void scanForSnapshot(const read_response &response);
    std::vector<fold_result> applyRecords(const read_response &response);

    claim_fold m_fold;
    bool m_isCaughtUp = false;
    bool m_isScanning = false;
    log_offset m_scanNext = 0;
    snapshot_collector m_collector;
    std::optional<claim_fold> m_candidate;
};

} // namespace parsleyglade
