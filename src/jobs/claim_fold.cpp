#include "jobs/claim_fold.h"

#include "core/digest.h"

#include <algorithm>
#include <cassert>

namespace parsleyglade {

namespace {

std::optional<claim_identity> identityOf(const std::string &key, std::int64_t caller)
{
    const auto parsed = job_key::fromBytes(key);
    if (!parsed) {
        return std::nullopt;
    }
    return claim_identity{*parsed, caller_id{caller}};
}

wire::result_entry resultOf(const claim_identity &identity, attempt_id attempt, wire::job_result::type result, std::int16_t httpStatus)
{
    wire::result_entry entry;
    entry.key = identity.key.bytes();
    entry.caller = static_cast<std::int64_t>(identity.caller);
    entry.attempt = static_cast<std::int64_t>(attempt);
    entry.result = result;
    entry.httpStatus = httpStatus;
    return entry;
}

/** Adds a record to a snapshot part: the claim, its result, and a release for each voided attempt. */
void addToPart(wire::claim_batch &part, const claim_identity &identity, const claim_record &record)
{
    wire::claim_entry entry;
    entry.key = identity.key.bytes();
    entry.caller = static_cast<std::int64_t>(identity.caller);
    entry.fingerprint = record.fingerprint;
    entry.dispatcher = static_cast<std::int64_t>(record.dispatcher);
    entry.attempt = static_cast<std::int64_t>(record.attempt);
    entry.team = record.team;
    part.claims.push_back(std::move(entry));

    if (record.state == claim_state::completed) {
        part.results.push_back(resultOf(identity, record.attempt, wire::job_result::completed, record.httpStatus));
    }
    if (record.state == claim_state::unknown) {
        part.results.push_back(resultOf(identity, record.attempt, wire::job_result::unknown, record.httpStatus));
    }
    for (const attempt_id attempt : record.voidAttempts) {
        part.results.push_back(resultOf(identity, attempt, wire::job_result::released, 0));
    }
}

} // namespace

fold_result claim_fold::apply(log_offset offset, std::string_view payload)
{
    fold_result result;
    if (offset < m_next) {
        return result;
    }
    if (offset > m_next) {
        result.status = fold_status::gap;
        return result;
    }

    ++m_next;
    const auto batch = decode<wire::claim_batch>(payload);
    if (!batch) {
        ++m_corrupt;
        result.status = fold_status::corrupt;
        return result;
    }

    result.status = fold_status::folded;
    result.batch = batch->batch;
    applyHorizon(batch->horizonMilliseconds);
    for (const wire::result_entry &entry : batch->results) {
        applyResult(entry, result);
    }
    for (const wire::claim_entry &entry : batch->claims) {
        applyClaim(entry, result);
    }
    if (batch->__isset.snapshot) {
        m_snapshots.add(batch->snapshot);
    }
    return result;
}

const claim_record *claim_fold::find(const claim_identity &identity) const
{
    const auto found = m_records.find(identity);
    return found == m_records.end() ? nullptr : &found->second;
}

bool claim_fold::isExpired(const job_key &key) const
{
    return key.created() < m_horizon;
}

wall_time claim_fold::horizon() const
{
    return m_horizon;
}

log_offset claim_fold::nextOffset() const
{
    return m_next;
}

std::size_t claim_fold::weight() const
{
    return m_records.size() + m_voidCount;
}

std::size_t claim_fold::size() const
{
    return m_records.size();
}

const std::set<claim_identity> &claim_fold::openClaims() const
{
    return m_open;
}

wall_time claim_fold::newestKey() const
{
    return m_newestKey;
}

std::uint64_t claim_fold::corruptCount() const
{
    return m_corrupt;
}

std::optional<log_offset> claim_fold::newestSnapshot() const
{
    return m_snapshots.newest();
}

std::string claim_fold::digest() const
{
    constexpr std::size_t entriesEach = 4096;
    std::string bytes = std::to_string(m_next);
    for (const std::string &part : snapshotParts(entriesEach)) {
        bytes += sha256(part);
    }
    return sha256(bytes);
}

std::vector<std::string> claim_fold::snapshotParts(std::size_t entriesEach) const
{
    assert(entriesEach > 0);
    wire::claim_batch header;
    header.writer = 0;
    header.batch = static_cast<std::int64_t>(m_next) - 1;
    header.horizonMilliseconds = m_horizon.time_since_epoch().count();

    std::vector<std::string> parts;
    wire::claim_batch part = header;
    for (const auto &[identity, record] : m_records) {
        addToPart(part, identity, record);
        if (part.claims.size() + part.results.size() >= entriesEach) {
            parts.push_back(encode(part));
            part = header;
        }
    }
    if (parts.empty() || !part.claims.empty()) {
        parts.push_back(encode(part));
    }
    return parts;
}

outcome<claim_fold> claim_fold::fromSnapshot(const collected_snapshot &snapshot)
{
    claim_fold fold;
    fold.m_next = snapshot.asOf + 1;
    for (const std::string &bytes : snapshot.parts) {
        const auto part = decode<wire::claim_batch>(bytes);
        if (!part || part->batch != static_cast<std::int64_t>(snapshot.asOf) || !fold.restore(*part)) {
            return failure{result_code::corrupt_record, "a part of the snapshot is corrupt", {}};
        }
    }
    return fold;
}

void claim_fold::applyHorizon(std::int64_t milliseconds)
{
    const std::chrono::milliseconds sinceEpoch{milliseconds};
    if (sinceEpoch <= m_horizon.time_since_epoch()) {
        return;
    }

    m_horizon = wall_time(sinceEpoch);
    while (!m_records.empty() && isExpired(m_records.begin()->first.key)) {
        m_voidCount -= m_records.begin()->second.voidAttempts.size();
        m_records.erase(m_records.begin());
    }
    while (!m_open.empty() && isExpired(m_open.begin()->key)) {
        m_open.erase(m_open.begin());
    }
}

void claim_fold::applyResult(const wire::result_entry &entry, fold_result &result)
{
    const auto identity = identityOf(entry.key, entry.caller);
    if (!identity) {
        ++m_corrupt;
        return;
    }

    const attempt_id attempt{entry.attempt};
    result.changed.push_back(*identity);
    if (entry.result == wire::job_result::released) {
        release(*identity, attempt);
        return;
    }

    const auto found = m_records.find(*identity);
    if (found == m_records.end() || found->second.attempt != attempt) {
        return;
    }

    claim_record &record = found->second;
    const bool isCompletion = entry.result == wire::job_result::completed && (record.state == claim_state::open || record.state == claim_state::unknown);
    const bool isLoss = entry.result == wire::job_result::unknown && record.state == claim_state::open;
    if (isCompletion || isLoss) {
        record.state = isCompletion ? claim_state::completed : claim_state::unknown;
        record.httpStatus = entry.httpStatus;
        m_open.erase(*identity);
    }
}

void claim_fold::applyClaim(const wire::claim_entry &entry, fold_result &result)
{
    const auto identity = identityOf(entry.key, entry.caller);
    if (!identity) {
        ++m_corrupt;
        return;
    }

    result.changed.push_back(*identity);
    if (isExpired(identity->key)) {
        return;
    }

    const auto found = m_records.find(*identity);
    if (found == m_records.end()) {
        if (weight() < capacity) {
            claim(*identity, entry);
        }
        return;
    }

    claim_record &record = found->second;
    const attempt_id attempt{entry.attempt};
    const bool isClaimed = record.state != claim_state::released;
    if (record.isVoid(attempt) || (isClaimed && record.attempt == attempt)) {
        return;
    }

    const bool isOtherRequest = record.fingerprint != 0 && record.fingerprint != entry.fingerprint;
    if (isClaimed || isOtherRequest) {
        addVoid(record, attempt);
        return;
    }
    if (record.voidAttempts.size() < maximumVoidAttempts && weight() < capacity) {
        claim(*identity, entry);
    }
}

void claim_fold::claim(const claim_identity &identity, const wire::claim_entry &entry)
{
    claim_record &record = m_records[identity];
    record.fingerprint = entry.fingerprint;
    record.dispatcher = incarnation_id{entry.dispatcher};
    record.attempt = attempt_id{entry.attempt};
    record.team = entry.team;
    record.httpStatus = 0;
    record.state = claim_state::open;
    m_open.insert(identity);
    m_newestKey = std::max(m_newestKey, identity.key.created());
}

void claim_fold::release(const claim_identity &identity, attempt_id attempt)
{
    if (isExpired(identity.key)) {
        return;
    }

    const auto found = m_records.find(identity);
    if (found == m_records.end()) {
        // The claim of this attempt may still be appended. The record prevents it from taking effect.
        if (weight() < capacity) {
            claim_record &record = m_records[identity];
            record.attempt = attempt;
            addVoid(record, attempt);
        }
        return;
    }

    claim_record &record = found->second;
    const bool isClaimed = record.state == claim_state::open || record.state == claim_state::unknown;
    if (isClaimed && record.attempt == attempt) {
        record.state = claim_state::released;
        record.httpStatus = 0;
        record.voidAttempts.push_back(attempt);
        ++m_voidCount;
        m_open.erase(identity);
        return;
    }
    const bool isCompleted = record.state == claim_state::completed && record.attempt == attempt;
    if (!isCompleted && !record.isVoid(attempt)) {
        addVoid(record, attempt);
    }
}

void claim_fold::addVoid(claim_record &record, attempt_id attempt)
{
    // A record with this many voided attempts accepts no further claim, so additional attempts need not be stored.
    if (record.voidAttempts.size() < maximumVoidAttempts) {
        record.voidAttempts.push_back(attempt);
        ++m_voidCount;
    }
}

bool claim_fold::restore(const wire::claim_batch &part)
{
    m_horizon = wall_time{std::chrono::milliseconds{part.horizonMilliseconds}};
    for (const wire::claim_entry &entry : part.claims) {
        const auto identity = identityOf(entry.key, entry.caller);
        if (!identity || m_records.contains(*identity)) {
            return false;
        }
        claim(*identity, entry);
    }

    for (const wire::result_entry &entry : part.results) {
        const auto identity = identityOf(entry.key, entry.caller);
        const auto found = identity ? m_records.find(*identity) : m_records.end();
        if (found == m_records.end()) {
            return false;
        }

        claim_record &record = found->second;
        const attempt_id attempt{entry.attempt};
        if (entry.result == wire::job_result::released) {
            record.voidAttempts.push_back(attempt);
            ++m_voidCount;
            record.state = attempt == record.attempt ? claim_state::released : record.state;
        } else {
            record.state = entry.result == wire::job_result::completed ? claim_state::completed : claim_state::unknown;
            record.httpStatus = entry.httpStatus;
        }
        if (record.state != claim_state::open) {
            m_open.erase(*identity);
        }
    }
    return true;
}

} // namespace parsleyglade
