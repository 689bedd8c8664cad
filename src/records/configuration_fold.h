#pragma once

#include "records/configuration_counters.h"
#include "records/configuration_fold_status.h"
#include "records/configuration_record_copy.h"
#include "records/proposal_result.h"
#include "tables/joined_tables.h"
#include <parsleyglade/parsleyglade_types.h>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string_view>

namespace parsleyglade {

/**
 * Deterministic state machine that replays (folds) the records of the `config` stream in offset order. Its state is the configuration.
 *
 * Records are folded without gaps, starting at offset 0 or at a snapshot. A proposal is accepted if it is valid and its base is the
 * current revision; the revision is then incremented by one. Acceptance depends only on the proposal and the revision, so all processes
 * agree, wherever they started.
 *
 * The digest of a snapshot covers the state and the offset at which the snapshot must be stored in the log. If other records are appended
 * first, the snapshot is stored at a higher offset, its digest does not match, and no fold starts from it. A fold that did would miss the
 * proposals in between. A snapshot that is created for a peer has a digest of a different kind: it includes the record at its own offset,
 * is accepted with or without a gap before it, and is never written to the log.
 *
 * Copies share the current tables, which never change.
 */
class configuration_fold
{
public:
    /** Maximum size of a record, in bytes: two tables and the other fields. Larger records are skipped. */
    static constexpr std::size_t maximumRecordBytes = std::size_t{640} * 1024;

    /** Number of proposals whose results are retained for publishers that query them. */
    static constexpr std::size_t maximumResults = 256;

    /** Maximum size in bytes and number of the records that are retained for peers; all of them fit into one message between peers. */
    static constexpr std::size_t maximumRetainedBytes = std::size_t{2} * 1024 * 1024;
    static constexpr std::size_t maximumRetainedRecords = 256;

    /** Maximum number of failures in the result of one proposal. */
    static constexpr std::size_t maximumFailuresOfResult = 16;

    /** Maximum length of the author and of the note of a proposal, in bytes. */
    static constexpr std::size_t maximumAuthorBytes = 128;
    static constexpr std::size_t maximumNoteBytes = 1024;

    /** @param retainedRecords Maximum number of records that are retained for peers; at least 1. */
    explicit configuration_fold(std::size_t retainedRecords = maximumRetainedRecords);

    /** Applies one encoded record, read from the log or received from a peer. Never throws, whatever the bytes are. */
    configuration_fold_status apply(log_offset offset, std::string_view bytes);

    /** Returns the number of accepted configurations; 0 before the first one. Never decreases. */
    revision_number revision() const;

    /** Returns the tables of the current revision; tables without entries at revision 0. */
    std::shared_ptr<const tables> current() const;

    /** Returns the SHA-256 digest of the revision and the canonical tables, 32 bytes. Equal in all processes at the same revision. */
    const std::string &digest() const;

    /** Returns the offset of the first record that has not been folded yet. */
    log_offset nextOffset() const;

    /** Returns the result of a proposal, or nothing if the proposal has not been folded or its result is no longer retained. */
    std::optional<proposal_result> resultOf(std::int64_t proposal) const;

    /** Creates an encoded snapshot record of the state. Folds start from it only if it is appended at nextOffset(). */
    std::string makeSnapshot() const;

    /** Returns the offset of the newest snapshot in the log from which a fold can start, among the records that this fold has processed. */
    std::optional<log_offset> lastSnapshotOffset() const;

    /**
     * Returns the records that a peer needs if it has folded all records below an offset: the records from that offset on or, if they are
     * not retained, one snapshot that replaces all records up to the newest one and has its offset. Empty if there are no newer records.
     */
    std::vector<configuration_record_copy> recordsFrom(log_offset from) const;

    const configuration_counters &counters() const;

private:
    configuration_fold_status applyInOrder(log_offset offset, const std::optional<wire::configuration_record> &record);
    configuration_fold_status applyProposal(log_offset offset, const wire::table_proposal &proposal);
    configuration_fold_status checkSnapshot(log_offset offset, const wire::table_snapshot &snapshot);
    bool restoreSnapshot(log_offset offset, const wire::table_snapshot &snapshot);
    std::string encodeSnapshot(const std::string &snapshotDigest) const;
    void setState(revision_number revision, tables value);
    void recordResult(std::int64_t proposal, proposal_result result);
    void retainRecord(log_offset offset, std::string_view bytes);

    std::size_t m_maximumRetainedRecords;
    log_offset m_nextOffset = 0;
    revision_number m_revision = 0;
    std::shared_ptr<const tables> m_current;
    std::string m_digest;
    std::optional<log_offset> m_lastSnapshotOffset;
    configuration_counters m_counters;

    std::map<std::int64_t, proposal_result> m_results;
    std::deque<std::int64_t> m_resultOrder;
    std::deque<configuration_record_copy> m_retainedRecords; /**< Contiguous; the last one is at m_nextOffset - 1. */
    std::size_t m_retainedBytes = 0;
};

} // namespace parsleyglade
