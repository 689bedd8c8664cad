#pragma once

#include "core/outcome.h"
#include "jobs/claim_record.h"
#include "jobs/snapshot_collector.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace parsleyglade {

/** What became of a record given to the fold. */
enum class fold_status {
    folded,
    ignored, /**< At or below the last folded offset. */
    corrupt, /**< Skipped, by every reader alike, and counted. */
    gap, /**< Records below it are missing; nothing was folded. */
};

/** Result of giving one record to the fold. */
struct fold_step
{
    fold_status status = fold_status::ignored;
    std::int64_t batch = 0; /**< Identifier of the folded batch. */
    std::vector<claim_identity> changed; /**< Jobs whose state may have changed; a horizon drop isn't listed. */
};

/**
 * Replays the records of one claim stream in order of offset.
 *
 * Every reader of the same records reaches the same state, whatever its settings and clock. Each attempt is decided once, by the first record that names
 * it; copies of a batch do nothing. Within a batch the horizon comes first, then the results, then the claims.
 */
class claim_fold
{
public:
    /**
     * Weight at which the fold refuses every claim. It is a constant and no setting, since readers with different bounds would disagree on who holds a
     * claim; coordinators refuse much earlier, at maximumClaims.
     */
    static constexpr std::size_t capacity = 2'000'000;

    /** Void attempts that one job may collect before its key is refused for good. */
    static constexpr std::size_t maximumVoidAttempts = 256;

    claim_fold() = default;

    /** Folds one record. Offsets below nextOffset() are ignored; one above it is a gap and changes nothing. */
    fold_step apply(log_offset offset, std::string_view payload);

    /** The record of a job; null when there is none. Valid until the next change. */
    const claim_record *find(const claim_identity &identity) const;

    /** Whether a key is older than the horizon, so that it can never be claimed. */
    bool isExpired(const job_key &key) const;

    /** Keys created before this are expired. Only rises. */
    wall_time horizon() const;

    /** Offset of the first record that isn't folded yet. */
    log_offset nextOffset() const;

    /** Records plus their void attempts, the measure that limits memory. */
    std::size_t weight() const;

    /** Number of jobs with a record. */
    std::size_t size() const;

    /** Jobs with an open claim, oldest key first. */
    const std::set<claim_identity> &openClaims() const;

    /** Creation time of the newest key with a record so far; the epoch when there was none. */
    wall_time newestKey() const;

    /** Corrupt records and entries skipped so far. */
    std::uint64_t corruptCount() const;

    /** Offset as of which the newest complete snapshot in the stream was taken. */
    std::optional<log_offset> newestSnapshot() const;

    /** SHA-256 of the state, equal for all who folded the same records. */
    std::string digest() const;

    /** The state as parts of about entriesEach entries, to be written as the chunks of a snapshot. Never empty. */
    std::vector<std::string> snapshotParts(std::size_t entriesEach) const;

    /** A fold that starts with the state of a complete snapshot. Fails with corrupt_record. */
    static outcome<claim_fold> fromSnapshot(const collected_snapshot &snapshot);

private:
    void applyHorizon(std::int64_t milliseconds);
    void applyResult(const wire::result_entry &entry, fold_step &step);
    void applyClaim(const wire::claim_entry &entry, fold_step &step);
    void claim(const claim_identity &identity, const wire::claim_entry &entry);
    void release(const claim_identity &identity, attempt_id attempt);
    void addVoid(claim_record &record, attempt_id attempt);
    bool restore(const wire::claim_batch &part);

    std::map<claim_identity, claim_record> m_records;
    std::set<claim_identity> m_open;
    std::size_t m_voidCount = 0;
    wall_time m_horizon{};
    wall_time m_newestKey{};
    log_offset m_next = 0;
    std::uint64_t m_corrupt = 0;
    snapshot_collector m_snapshots;
};

} // namespace parsleyglade
