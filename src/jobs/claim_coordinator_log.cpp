#include "jobs/claim_coordinator.h"

#include <algorithm>

namespace parsleyglade {

namespace {

constexpr duration housekeepingInterval = std::chrono::milliseconds{500};
constexpr duration firstReadDelay = std::chrono::milliseconds{5};

} // namespace

coordinator_actions claim_coordinator::appendCompleted(const append_response &response, const clock_reading &at)
{
    beginInput(at);
    m_isAppending = false;
    if (m_batch.phase != batch_phase::appending || m_batch.identifier != m_appendingBatch) {
        return finishInput();
    }

    switch (response.result) {
    case append_response::kind::appended:
        m_contactAt = at.now;
        m_appendDelay = {};
        m_batch.phase = batch_phase::folding;
        m_batch.offset = response.offset;
        m_readAt = at.now;
        if (response.offset == fold().nextOffset()) {
            processFoldResults({m_reader.applyOwn(response.offset, m_batch.payload)});
        } else {
            processFoldResults({});
        }
        break;
    case append_response::kind::refused:
        delayAppend(response.retryAfter);
        if (m_batch.mayBeWritten) {
            m_batch.phase = batch_phase::backing_off;
        } else {
            dropBatch();
        }
        break;
    case append_response::kind::unknown:
        delayAppend(response.retryAfter);
        m_batch.phase = batch_phase::folding;
        markMayBeWritten();
        m_readAt = at.now;
        break;
    }
    return finishInput();
}

coordinator_actions claim_coordinator::readCompleted(const read_response &response, const clock_reading &at)
{
    beginInput(at);
    m_isReading = false;
    if (response.result == read_response::kind::unavailable) {
        delayRead();
        return finishInput();
    }

    m_contactAt = at.now;
    const bool wasCaughtUp = m_reader.isCaughtUp();
    const bool wasScanning = m_reader.isScanning();
    const log_offset from = m_reader.readFrom();
    const std::vector<fold_result> results = m_reader.handleResponse(response);
    const bool hasProgress = m_reader.readFrom() != from || m_reader.isScanning() != wasScanning;
    processFoldResults(results);
    if (!wasCaughtUp && m_reader.isCaughtUp()) {
        evaluateAll();
    }

    const bool isAtHead = response.result == read_response::kind::ok && (response.records.empty() || m_reader.readFrom() >= response.head);
    if (m_batch.phase == batch_phase::folding && !m_batch.offset && isAtHead && m_reader.isCaughtUp()) {
        m_batch.phase = batch_phase::backing_off;
    }
    if (hasProgress) {
        m_readDelay = {};
        m_readAt = at.now;
    } else {
        delayRead();
    }
    return finishInput();
}

coordinator_actions claim_coordinator::tick(const clock_reading &at)
{
    beginInput(at);
    return finishInput();
}

std::optional<time_point> claim_coordinator::nextWake() const
{
    if (!m_isActive) {
        return std::nullopt;
    }

    time_point wake = m_housekeepingAt;
    if (m_requests.size() > 0) {
        wake = std::min(wake, m_requests.firstDeadline());
    }
    const bool canBuild = m_batch.phase == batch_phase::none && m_reader.isCaughtUp() && hasWork();
    if (!m_isAppending && (canBuild || m_batch.phase == batch_phase::backing_off)) {
        wake = std::min(wake, m_appendAt);
    }
    if (!m_isReading && (!m_reader.isCaughtUp() || m_batch.phase == batch_phase::folding)) {
        wake = std::min(wake, m_readAt);
    }
    return wake;
}

void claim_coordinator::beginInput(const clock_reading &at)
{
    m_at = at;
    m_failureDetector.observe(at.now);
    m_actions.clear();
}

coordinator_actions claim_coordinator::finishInput()
{
    if (m_isActive) {
        advance();
    }
    return std::exchange(m_actions, {});
}

void claim_coordinator::advance()
{
    expireRequests();
    if (m_at.now >= m_housekeepingAt) {
        m_housekeepingAt = m_at.now + housekeepingInterval;
        housekeep();
    }
    if (isBatchAbandoned()) {
        dropBatch();
    }
    if (needsRead()) {
        startRead();
    }
    startAppend();
}

void claim_coordinator::housekeep()
{
    acknowledgeAll(m_reports.removeExpired(m_at.now));
    if (!m_reader.isCaughtUp()) {
        return;
    }
    m_responses.removeBefore(fold().horizon());
    recordLostDispatchers();
    m_snapshots.update(fold(), static_cast<std::int64_t>(m_random()), m_at.now);
}

void claim_coordinator::recordLostDispatchers()
{
    for (const claim_identity &identity : fold().openClaims()) {
        const claim_record *record = fold().find(identity);
        if (!m_failureDetector.isLost(record->dispatcher, m_at.now)) {
            continue;
        }

        wire::result_entry entry;
        entry.key = identity.key.bytes();
        entry.caller = static_cast<std::int64_t>(identity.caller);
        entry.attempt = static_cast<std::int64_t>(record->attempt);
        entry.result = wire::job_result::unknown;
        entry.httpStatus = static_cast<std::int16_t>(result_code::dispatcher_lost);
        m_reports.add(entry, std::nullopt);
    }
}

bool claim_coordinator::isHorizonUrgent() const
{
    return fold().weight() >= m_settings.maximumClaims && horizonToRaise().has_value();
}

std::optional<wall_time> claim_coordinator::horizonToRaise() const
{
    // The horizon never decreases, so a clock that jumps ahead must not expire keys. The creation times of requested keys have to confirm the clock.
    const wall_time newest = std::max(m_newestRequested, fold().newestKey());
    wall_time horizon = std::min(m_at.wall, newest + m_settings.futureTolerance) - m_settings.dedupWindow;
    if (!fold().openClaims().empty()) {
        horizon = std::min(horizon, fold().openClaims().begin()->key.created());
    }
    if (!m_queue.empty()) {
        horizon = std::min(horizon, m_queue.begin()->first.key.created());
    }
    return horizon >= fold().horizon() + m_settings.horizonStep ? std::optional(horizon) : std::nullopt;
}

void claim_coordinator::startAppend()
{
    if (m_isAppending || m_at.now < m_appendAt) {
        return;
    }

    const bool canBuild = m_batch.phase == batch_phase::none && m_reader.isCaughtUp() && hasWork();
    if (canBuild) {
        buildBatch();
        sendBatch();
    } else if (m_batch.phase == batch_phase::backing_off) {
        sendBatch();
    }
}

bool claim_coordinator::hasWork() const
{
    return !m_queue.empty() || m_reports.hasUnsent() || !m_barriers.empty() || m_snapshots.hasChunk() || isHorizonUrgent();
}

void claim_coordinator::buildBatch()
{
    wire::claim_batch batch;
    batch.writer = static_cast<std::int64_t>(m_settings.writer);
    batch.batch = static_cast<std::int64_t>(m_random());
    batch.horizonMilliseconds = horizonToRaise().value_or(wall_time{}).time_since_epoch().count();

    m_batch = {};
    m_batch.identifier = batch.batch;
    m_batch.builtAt = m_at.now;
    m_batch.barriers = std::exchange(m_barriers, {});

    // Half of a batch is reserved for claims, so that a backlog of reports after an outage does not delay them.
    m_batch.reports = m_reports.selectForBatch(m_queue.empty() ? m_settings.maximumBatchEntries : m_settings.maximumBatchEntries / 2);
    for (const report_key &key : m_batch.reports) {
        batch.results.push_back(m_reports.find(key)->entry);
    }
    while (!m_queue.empty() && batch.claims.size() + batch.results.size() < m_settings.maximumBatchEntries) {
        const auto node = m_queue.extract(m_queue.begin());
        m_batch.claims.emplace(node.key(), attempt_id{node.mapped().attempt});
        batch.claims.push_back(node.mapped());
    }
    if (const auto chunk = m_snapshots.nextChunk()) {
        batch.__set_snapshot(*chunk);
        m_batch.hasChunk = true;
    }
    m_batch.payload = encode(batch);
}

void claim_coordinator::markMayBeWritten()
{
    m_batch.mayBeWritten = true;
    for (const auto &[identity, attempt] : m_batch.claims) {
        for (const reply_handle handle : m_requests.handlesOf(identity)) {
            pending_claim_request *pending = m_requests.find(handle);
            pending->mayBeWritten = pending->mayBeWritten || attempt_id{pending->request.claim.attempt} == attempt;
        }
    }
}

void claim_coordinator::sendBatch()
{
    m_batch.phase = batch_phase::appending;
    m_isAppending = true;
    m_appendingBatch = m_batch.identifier;
    m_appendAt = m_at.now + m_settings.appendInterval;
    ++m_appends;
    m_appendedBytes += m_batch.payload.size();
    m_actions.emplace_back(append_action{m_batch.payload});
}

bool claim_coordinator::isBatchAbandoned() const
{
    // After the deadline all requests that waited for the batch have been refused. A batch whose offset is known is not abandoned, because completing
    // it needs no further append.
    const bool isUndecided = m_batch.phase == batch_phase::backing_off || (m_batch.phase == batch_phase::folding && !m_batch.offset);
    return isUndecided && m_at.now >= m_batch.builtAt + m_settings.appendDeadline;
}

void claim_coordinator::settleBatch()
{
    const batch_in_flight batch = std::exchange(m_batch, {});
    m_appendDelay = {};
    if (batch.hasChunk && m_snapshots.hasChunk()) {
        m_snapshots.chunkFolded(m_at.now);
    }

    // Reports are evaluated first, so that the cached response is available to the requests that joined the job.
    for (const report_key &key : batch.reports) {
        evaluateReport(key, true);
    }
    for (const auto &[identity, attempt] : batch.claims) {
        for (const reply_handle handle : m_requests.handlesOf(identity)) {
            pending_claim_request *pending = m_requests.find(handle);
            if (attempt_id{pending->request.claim.attempt} == attempt) {
                pending->isDecided = true;
                pending->mayBeWritten = false;
            }
        }
        evaluateJob(identity);
    }
    for (const reply_handle handle : batch.barriers) {
        evaluateAfterBarrier(handle);
    }
}

void claim_coordinator::dropBatch()
{
    const batch_in_flight batch = std::exchange(m_batch, {});
    m_reports.requeue(batch.reports);
    for (const auto &[identity, attempt] : batch.claims) {
        evaluateJob(identity);
    }
    std::copy_if(batch.barriers.begin(), batch.barriers.end(), std::back_inserter(m_barriers),
                 [this](reply_handle handle) { return m_requests.find(handle) != nullptr; });
}

void claim_coordinator::processFoldResults(const std::vector<fold_result> &results)
{
    bool isSettled = m_batch.offset && fold().nextOffset() > *m_batch.offset;
    for (const fold_result &result : results) {
        isSettled = isSettled || (result.status == fold_status::folded && m_batch.phase != batch_phase::none && result.batch == m_batch.identifier);
    }
    if (isSettled && m_reader.isCaughtUp()) {
        settleBatch();
    }
    if (m_requests.size() == 0) {
        return;
    }

    std::set<claim_identity> changed;
    for (const fold_result &result : results) {
        changed.insert(result.changed.begin(), result.changed.end());
    }
    for (const claim_identity &identity : changed) {
        evaluateJob(identity);
    }
}

void claim_coordinator::startRead()
{
    m_isReading = true;
    m_actions.emplace_back(read_action{m_reader.readFrom(), m_settings.readRecords});
}

bool claim_coordinator::needsRead() const
{
    const bool isReadNeeded = !m_reader.isCaughtUp() || m_batch.phase == batch_phase::folding || needsRefresh();
    return isReadNeeded && !m_isReading && m_at.now >= m_readAt;
}

bool claim_coordinator::needsRefresh() const
{
    const bool hasDependents = !fold().openClaims().empty() || m_requests.size() > 0;
    return hasDependents && m_at.now >= m_contactAt + m_settings.refreshInterval;
}

void claim_coordinator::delayAppend(duration atLeast)
{
    m_appendDelay = std::clamp(2 * m_appendDelay, m_settings.appendInterval, std::max(m_settings.appendInterval, m_settings.maximumRetryDelay));
    m_appendAt = m_at.now + std::max(m_appendDelay, atLeast);
}

void claim_coordinator::delayRead()
{
    m_readDelay = std::clamp(2 * m_readDelay, firstReadDelay, m_settings.maximumRetryDelay);
    m_readAt = m_at.now + m_readDelay;
}

} // namespace parsleyglade
