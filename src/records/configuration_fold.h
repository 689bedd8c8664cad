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
 * The configuration that results from the records of the `config` stream in order of offset.
 *
 * Records are folded without gaps from offset 0 or from a snapshot. A proposal is accepted if it is valid and its base is the current
 * revision; the revision then rises by one. Whether a proposal is accepted depends on nothing but the revision, so all processes agree
 * wherever they started.
 *
 * A snapshot's digest covers the state and the offset that the record has to land at. A snapshot that other records overtook on its way
 * into the log therefore doesn't match its offset, and no fold starts from it; otherwise a fold that started there would miss the
 * proposals that came between. A snapshot that a peer made is marked by another digest; it covers the record at its own offset as well,
 * is taken in any position, and is never written to the log.
 *
 * Copying is allowed; current tables are shared and never change.
 */
class configuration_fold
{
public:
    /** Largest record that is folded, in bytes: two tables, and room for the other fields. */
    static constexpr std::size_t maximumRecordBytes = std::size_t{640} * 1024;

    /** Results of this many proposals are kept for publishers that ask. */
    static constexpr std::size_t maximumResults = 256;

    /** Bytes and number of records that are kept for peers; one message between peers holds them all. */
    static constexpr std::size_t maximumRetainedBytes = std::size_t{2} * 1024 * 1024;
    static constexpr std::size_t maximumRetainedRecords = 256;

    /** Failures that the result of one proposal keeps. */
    static constexpr std::size_t maximumFailuresOfResult = 16;

    static constexpr std::size_t maximumAuthorBytes = 128;
    static constexpr std::size_t maximumNoteBytes = 1024;

    /** @param retainedRecords Number of records that are kept for peers, at least 1. */
    explicit configuration_fold(std::size_t retainedRecords = maximumRetainedRecords);

    /** Folds one record, read from the log or received from a peer. Never throws on any bytes. */
    configuration_fold_status apply(log_offset offset, std::string_view bytes);

    /** Number of accepted configurations; 0 before the first. Never falls. */
    revision_number revision() const;

    /** The tables of the revision; empty tables at revision 0. */
    std::shared_ptr<const tables> current() const;

    /** SHA-256 of the revision and the canonical tables, 32 bytes. Equal in all processes at the same revision. */
    const std::string &digest() const;

    /** Offset of the first record that is not folded yet. */
    log_offset nextOffset() const;

    /** Result of a proposal, or nothing when it is not in the folded records or its result is no longer kept. */
    std::optional<proposal_result> resultOf(std::int64_t proposal) const;

    /** A snapshot record of the state. Folds start from it only if it is appended at nextOffset(). */
    std::string makeSnapshot() const;

    /** Offset of the newest snapshot in the log that a fold can start from, as far as this fold has seen. */
    std::optional<log_offset> lastSnapshotOffset() const;

    /**
     * What a peer needs that has folded everything below an offset: the records from there on or, when these are not kept, one snapshot
     * that stands for every record up to the newest one and has its offset. Empty when there is nothing newer.
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
    std::deque<configuration_record_copy> m_retainedRecords; /**< Contiguous, ends below m_nextOffset. */
    std::size_t m_retainedBytes = 0;
};

} // namespace parsleyglade
