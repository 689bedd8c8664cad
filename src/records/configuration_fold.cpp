#include "records/configuration_fold.h"

#include "core/digest.h"
#include "tables/parse_tables.h"
#include "wire/codec.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

std::string stateDigest(revision_number revision, const std::string &routesJson, const std::string &poolsJson)
{
    return sha256(std::to_string(revision) + '\n' + routesJson + '\n' + poolsJson);
}

/** Returns the digest of a snapshot in the log, which contains the state after all records below its offset. */
std::string logSnapshotDigest(const std::string &digestOfState, log_offset offset)
{
    return sha256(digestOfState + "log" + std::to_string(offset));
}

/** Returns the digest of a snapshot created for a peer, which contains the state after all records up to and including its offset. */
std::string peerSnapshotDigest(const std::string &digestOfState, log_offset offset)
{
    return sha256(digestOfState + "peer" + std::to_string(offset));
}

/** Whether the text is short enough and can be inserted unchanged into JSON responses and log lines: UTF-8 without control characters. */
bool isPlainText(const std::string &text, std::size_t maximumBytes)
{
    const auto isControl = [](char character) {
        const auto value = static_cast<unsigned char>(character);
        return value < 0x20 || value == 0x7f;
    };
    if (text.size() > maximumBytes || std::any_of(text.begin(), text.end(), isControl)) {
        return false;
    }
    // With this error handler the serializer omits bytes that are not valid UTF-8, so the texts differ if there are any.
    const std::string serialized = nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::ignore);
    return nlohmann::json::parse(serialized).get_ref<const std::string &>() == text;
}

/** Decodes a record. Returns nothing unless exactly one of its optional fields is set: the proposal or the snapshot. */
std::optional<wire::configuration_record> decodeRecord(std::string_view bytes)
{
    if (bytes.size() > configuration_fold::maximumRecordBytes) {
        return std::nullopt;
    }

    outcome<wire::configuration_record> record = decode<wire::configuration_record>(bytes);
    if (!record || record->__isset.proposal == record->__isset.snapshot) {
        return std::nullopt;
    }
    return std::move(*record);
}

} // namespace

configuration_fold::configuration_fold(std::size_t retainedRecords)
    : m_maximumRetainedRecords(retainedRecords)
{
    assert(m_maximumRetainedRecords > 0);
    setState(0, tables());
}

configuration_fold_status configuration_fold::apply(log_offset offset, std::string_view bytes)
{
    if (offset < m_nextOffset) {
        ++m_counters.ignored;
        return configuration_fold_status::ignored;
    }

    const std::optional<wire::configuration_record> record = decodeRecord(bytes);
    if (record && record->__isset.snapshot && restoreSnapshot(offset, record->snapshot)) {
        return configuration_fold_status::started;
    }

    if (offset > m_nextOffset) {
        ++m_counters.gaps;
        return configuration_fold_status::gap;
    }

    const configuration_fold_status status = applyInOrder(offset, record);
    m_nextOffset = offset + 1;
    retainRecord(offset, bytes);
    return status;
}

revision_number configuration_fold::revision() const
{
    return m_revision;
}

std::shared_ptr<const tables> configuration_fold::current() const
{
    return m_current;
}

const std::string &configuration_fold::digest() const
{
    return m_digest;
}

log_offset configuration_fold::nextOffset() const
{
    return m_nextOffset;
}

std::optional<proposal_result> configuration_fold::resultOf(std::int64_t proposal) const
{
    const auto found = m_results.find(proposal);
    return found != m_results.end() ? std::optional(found->second) : std::nullopt;
}

std::string configuration_fold::makeSnapshot() const
{
    return encodeSnapshot(logSnapshotDigest(m_digest, m_nextOffset));
}

std::optional<log_offset> configuration_fold::lastSnapshotOffset() const
{
    return m_lastSnapshotOffset;
}

std::vector<configuration_record_copy> configuration_fold::recordsFrom(log_offset from) const
{
    if (from >= m_nextOffset) {
        return {};
    }

    if (!m_retainedRecords.empty() && m_retainedRecords.front().offset <= from) {
        return {m_retainedRecords.begin() + static_cast<std::ptrdiff_t>(from - m_retainedRecords.front().offset), m_retainedRecords.end()};
    }

    const log_offset newest = m_nextOffset - 1;
    return {{newest, encodeSnapshot(peerSnapshotDigest(m_digest, newest))}};
}

const configuration_counters &configuration_fold::counters() const
{
    return m_counters;
}

configuration_fold_status configuration_fold::applyInOrder(log_offset offset, const std::optional<wire::configuration_record> &record)
{
    if (!record) {
        ++m_counters.skipped;
        m_counters.lastSkipped = offset;
        return configuration_fold_status::skipped;
    }
    return record->__isset.proposal ? applyProposal(offset, record->proposal) : checkSnapshot(offset, record->snapshot);
}

configuration_fold_status configuration_fold::applyProposal(log_offset offset, const wire::table_proposal &proposal)
{
    const auto refuse = [&](std::vector<failure> failures) {
        ++m_counters.refused;
        if (failures.size() > maximumFailuresOfResult) {
            failures.resize(maximumFailuresOfResult);
        }
        recordResult(proposal.proposal, {false, offset, m_revision, std::move(failures)});
        return configuration_fold_status::refused;
    };

    if (proposal.baseRevision < 0 || static_cast<revision_number>(proposal.baseRevision) != m_revision) {
        return refuse({{result_code::revision_conflict,
                        "the proposal is based on revision " + std::to_string(proposal.baseRevision) + "; the current one is " + std::to_string(m_revision),
                        {}}});
    }

    if (!isPlainText(proposal.author, maximumAuthorBytes)) {
        return refuse({{result_code::invalid_value, "the author is too long or not plain text", "/author"}});
    }

    if (!isPlainText(proposal.note, maximumNoteBytes)) {
        return refuse({{result_code::invalid_value, "the note is too long or not plain text", "/note"}});
    }

    outcome<tables> parsed = parseTables(proposal.routes, proposal.pools);
    if (!parsed) {
        return refuse(parsed.failures());
    }

    setState(m_revision + 1, std::move(*parsed));
    ++m_counters.accepted;
    recordResult(proposal.proposal, {true, offset, m_revision, {}});
    return configuration_fold_status::accepted;
}

configuration_fold_status configuration_fold::checkSnapshot(log_offset offset, const wire::table_snapshot &snapshot)
{
    const bool matches = snapshot.digest == logSnapshotDigest(m_digest, offset) && snapshot.routes == m_current->routes().canonicalJson()
        && snapshot.pools == m_current->pools().canonicalJson() && static_cast<revision_number>(snapshot.revision) == m_revision;
    if (!matches) {
        ++m_counters.staleSnapshots;
        return configuration_fold_status::stale;
    }

    m_lastSnapshotOffset = offset;
    return configuration_fold_status::checked;
}

bool configuration_fold::restoreSnapshot(log_offset offset, const wire::table_snapshot &snapshot)
{
    if (snapshot.revision < 0 || static_cast<revision_number>(snapshot.revision) < m_revision) {
        return false;
    }

    const auto revision = static_cast<revision_number>(snapshot.revision);
    const std::string digestOfState = stateDigest(revision, snapshot.routes, snapshot.pools);
    const bool isFromPeer = snapshot.digest == peerSnapshotDigest(digestOfState, offset);
    const bool isAcrossGap = offset > m_nextOffset && snapshot.digest == logSnapshotDigest(digestOfState, offset);
    if (!isFromPeer && !isAcrossGap) {
        return false;
    }

    outcome<tables> parsed = parseTables(snapshot.routes, snapshot.pools);
    if (!parsed || parsed->routes().canonicalJson() != snapshot.routes || parsed->pools().canonicalJson() != snapshot.pools) {
        return false;
    }

    setState(revision, std::move(*parsed));
    m_nextOffset = offset + 1;
    if (isAcrossGap) {
        m_lastSnapshotOffset = offset;
    }

    // The records before this offset are missing here, so peers that need them receive a snapshot instead.
    m_retainedRecords.clear();
    m_retainedBytes = 0;
    return true;
}

std::string configuration_fold::encodeSnapshot(const std::string &snapshotDigest) const
{
    wire::table_snapshot snapshot;
    snapshot.__set_revision(static_cast<std::int64_t>(m_revision));
    snapshot.__set_routes(m_current->routes().canonicalJson());
    snapshot.__set_pools(m_current->pools().canonicalJson());
    snapshot.__set_digest(snapshotDigest);

    wire::configuration_record record;
    record.__set_snapshot(snapshot);
    return encode(record);
}

void configuration_fold::setState(revision_number revision, tables value)
{
    assert(revision >= m_revision);
    m_revision = revision;
    m_current = std::make_shared<const tables>(std::move(value));
    m_digest = stateDigest(m_revision, m_current->routes().canonicalJson(), m_current->pools().canonicalJson());
}

void configuration_fold::recordResult(std::int64_t proposal, proposal_result result)
{
    const auto [known, isNew] = m_results.try_emplace(proposal, result);
    if (!isNew) {
        // A publisher that received no response may append its proposal twice; the result of the accepted copy takes precedence.
        if (result.accepted) {
            known->second = std::move(result);
        }
        return;
    }

    m_resultOrder.push_back(proposal);
    if (m_resultOrder.size() > maximumResults) {
        m_results.erase(m_resultOrder.front());
        m_resultOrder.pop_front();
    }
}

void configuration_fold::retainRecord(log_offset offset, std::string_view bytes)
{
    // Every fold skips a record over the size limit, whatever its bytes are, so an empty record is retained in its place.
    m_retainedRecords.push_back({offset, bytes.size() > maximumRecordBytes ? std::string() : std::string(bytes)});
    m_retainedBytes += m_retainedRecords.back().bytes.size();
    while (m_retainedBytes > maximumRetainedBytes || m_retainedRecords.size() > m_maximumRetainedRecords) {
        m_retainedBytes -= m_retainedRecords.front().bytes.size();
        m_retainedRecords.pop_front();
    }
}

} // namespace parsleyglade
