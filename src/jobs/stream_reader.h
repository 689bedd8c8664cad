#pragma once

#include "jobs/claim_fold.h"
#include "jobs/coordinator_action.h"

namespace parsleyglade {

/**
 * Brings a claim fold up to date from reads of its stream.
 *
 * It follows the stream by offset. When retention has overtaken it, it scans what is left for the newest complete snapshot and starts again from there.
 */
class stream_reader
{
public:
    /** Asks for a new catch-up: isCaughtUp() is false until a read reaches the head. */
    void startCatchUp();

    /** Takes the answer to a read from readFrom(). Returns what was folded, in order. */
    std::vector<fold_step> handleResponse(const read_response &answer);

    /** Folds a record that this process wrote itself. */
    fold_step applyOwn(log_offset offset, std::string_view payload);

    /** Offset from which the next read has to start. */
    log_offset readFrom() const;

    /** Whether it looks for a snapshot, since retention has overtaken it. */
    bool isScanning() const;

    /** Whether the fold has reached the head as some replica knew it. Replicas may be stale; only an own append shows the true head. */
    bool isCaughtUp() const;

    const claim_fold &fold() const;

private:
    void startScan(log_offset earliest);
    void scanForSnapshot(const read_response &answer);
    std::vector<fold_step> applyRecords(const read_response &answer);

    claim_fold m_fold;
    bool m_isCaughtUp = false;
    bool m_isScanning = false;
    log_offset m_scanNext = 0;
    snapshot_collector m_collector;
    std::optional<claim_fold> m_candidate;
};

} // namespace parsleyglade
