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

/** Outcome of applying a record to a claim_fold. */
enum class fold_status {
    folded, /**< The record was applied. */
    ignored, /**< The offset has already been applied. */
    corrupt, /**< The record cannot be decoded. Every reader skips and counts it. */
    gap, /**< Records before the offset are missing; nothing was applied. */
};

/** Result of applying one record to a claim_fold. */
struct fold_result
{
    fold_status status = fold_status::ignored;
    std::int64_t batch = 0; /**< Identifier of the applied batch. */
    std::vector<claim_identity> changed; /**< Jobs whose state may have changed, except for records that expired. */
};

/**
 * Deterministic state machine that replays (folds) the records of one claim stream in offset order.
 *
 * All readers of the same records reach the same state, independent of their settings and clocks. The first record that names an attempt decides it, so
 * that duplicates of a batch have no effect. Within a batch the expiry horizon is applied first, then the results, then the claims.
 */
class claim_fold
{
public:
    /**
     * Weight at which the fold ignores every further claim.
     *
     * It is a constant rather than a setting because readers with different limits would disagree about who holds a claim. Coordinators refuse claims much
     * earlier, at coordinator_settings::maximumClaims.
     */
    static constexpr std::size_t capacity = 2'000'000;

    /** Voided attempts that one job may accumulate before its key accepts no further claim. */
    static constexpr std::size_t maximumVoidAttempts = 256;

    claim_fold() = default;

    /** Applies one record. An offset below nextOffset() is ignored; an offset above it is reported as a gap and changes nothing. */
    fold_result apply(log_offset offset, std::string_view payload);

    /** Returns the record of a job, or null if there is none. The pointer is valid until the next change of the fold. */
    const claim_record *find(const claim_identity &identity) const;

    /** Whether a key is older than the expiry horizon and can never be claimed again. */
    bool isExpired(const job_key &key) const;

    /** Expiry horizon: keys created before this time are expired. Never decreases. */
    wall_time horizon() const;

    /** Offset of the next record to apply. */
    log_offset nextOffset() const;

    /** Number of records plus their voided attempts, the measure by which memory is limited. */
    std::size_t weight() const;

    /** Number of jobs with a record. */
    std::size_t size() const;

    /** Jobs with an open claim, oldest key first. */
    const std::set<claim_identity> &openClaims() const;

    /** Creation time of the newest key claimed so far; the epoch if there was none. */
    wall_time newestKey() const;

    /** Number of corrupt records and entries skipped so far. */
    std::uint64_t corruptCount() const;

    /** Last offset covered by the newest complete snapshot in the stream, if any. */
    std::optional<log_offset> newestSnapshot() const;

    /** SHA-256 of the state; equal for all readers that have applied the same records. */
    std::string digest() const;

    /** Serialises the state into parts of about entriesEach entries, which are written as the chunks of a snapshot. Never empty. */
    std::vector<std::string> snapshotParts(std::size_t entriesEach) const;

    /** Restores a fold from a complete snapshot. Fails with corrupt_record if a part cannot be restored. */
    static outcome<claim_fold> fromSnapshot(const collected_snapshot &snapshot);

private:
    void applyHorizon(std::int64_t milliseconds);
    void applyResult(const wire::result_entry &entry, fold_result &result);
    void applyClaim(const wire::claim_entry &entry, fold_result &result);
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
