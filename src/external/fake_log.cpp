#include "external/fake_log.h"

#include <algorithm>
#include <cmath>

namespace parsleyglade {

namespace {

/** Capacity of the token bucket, in seconds of appends at the limited rate; a burst may exceed the rate by that many appends. */
constexpr double bucketSeconds = 0.1;

double bucketSize(double appendsPerSecond)
{
    return std::max(1.0, appendsPerSecond * bucketSeconds);
}

append_result refused(std::string reason, duration retryAfter = duration::zero())
{
    return {append_status::refused, 0, std::move(reason), retryAfter};
}

append_result unknown(std::string reason)
{
    return {append_status::unknown, 0, std::move(reason), duration::zero()};
}

read_result unavailable(std::string reason)
{
    read_result result;
    result.reason = std::move(reason);
    return result;
}

} // namespace

struct fake_log::pending_read
{
    log_offset from = 0;
    std::size_t maximumRecords = 0;
    duration wait{};
    std::function<void(read_result)> done;
    bool isCompleted = false;
};

fake_log::fake_log(timer_service &timers, fake_log_settings settings)
    : m_timers(timers)
    , m_settings(settings)
    , m_random(settings.seed)
    , m_tokens(bucketSize(m_faults.appendsPerSecond))
    , m_tokensAt(timers.now())
    , m_calls(timers)
{
}

fake_log::~fake_log() = default;

const fake_log_faults &fake_log::faults() const
{
    return m_faults;
}

void fake_log::setFaults(const fake_log_faults &faults)
{
    m_faults = faults;
    if (!m_faults.outage) {
        return;
    }

    for (auto &[name, stream] : m_streams) {
        const auto pending = std::exchange(stream.pendingReads, {});
        for (const auto &call : pending) {
            completeRead(name, call, 0);
        }
    }
}

void fake_log::append(const std::string &stream, std::string payload, std::function<void(append_result)> done)
{
    m_calls.after(halfLatency(), [this, stream, payload = std::move(payload), done = std::move(done)] { handleAppend(stream, payload, done); });
}

void fake_log::handleAppend(const std::string &stream, const std::string &payload, const std::function<void(append_result)> &done)
{
    if (m_faults.outage) {
        completeAppend(halfLatency(), refused("the log is down"), done);
        return;
    }
    if (payload.size() > m_settings.maximumPayloadBytes) {
        completeAppend(halfLatency(), refused("the record is too large"), done);
        return;
    }
    if (const duration retryAfter = takeToken(); retryAfter > duration::zero()) {
        completeAppend(halfLatency(), refused("too many appends", retryAfter), done);
        return;
    }

    if (drawFault(m_faults.loseResponses)) {
        write(stream, payload);
        completeAppend(randomDuration(m_settings.maximumLostResponseDelay), unknown("the response was lost"), done);
        return;
    }
    if (drawFault(m_faults.lateAppends)) {
        const duration resultDelay = randomDuration(m_settings.maximumLostResponseDelay);
        completeAppend(resultDelay, unknown("the response was lost"), done);
        m_calls.after(resultDelay + randomDuration(m_settings.maximumLateWriteDelay), [this, stream, payload] { write(stream, payload); });
        return;
    }

    const log_offset offset = write(stream, payload);
    if (drawFault(m_faults.duplicates)) {
        m_calls.after(randomDuration(m_settings.maximumLateWriteDelay), [this, stream, payload] { write(stream, payload); });
    }
    completeAppend(halfLatency(), {append_status::appended, offset, {}, duration::zero()}, done);
}

void fake_log::completeAppend(duration delay, append_result result, std::function<void(append_result)> done)
{
    m_calls.after(delay, [this, result = std::move(result), done = std::move(done)] {
        // An outage that began after the append took effect loses its response.
        if (m_faults.outage && result.status == append_status::appended) {
            done(unknown("the log became unavailable before it responded"));
            return;
        }
        done(result);
    });
}

void fake_log::read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done)
{
    auto call = std::make_shared<pending_read>();
    call->from = from;
    call->maximumRecords = maximumRecords;
    call->wait = wait;
    call->done = std::move(done);
    m_calls.after(halfLatency(), [this, stream, call] { handleRead(stream, call); });
}

void fake_log::handleRead(const std::string &stream, const std::shared_ptr<pending_read> &call)
{
    stream_state &state = m_streams[stream];
    applyRetention(state);
    const log_offset current = head(stream);

    if (!m_faults.outage && call->from >= state.earliest && drawFault(m_faults.staleReads)) {
        const auto missing = std::uniform_int_distribution<std::uint64_t>(1, std::max<std::size_t>(1, m_settings.maximumStaleRecords))(m_random);
        completeRead(stream, call, std::max(state.earliest, current - std::min(current, missing)));
        return;
    }

    if (m_faults.outage || call->from < current || call->wait <= duration::zero()) {
        completeRead(stream, call, current);
        return;
    }

    state.pendingReads.push_back(call);
    m_calls.after(call->wait, [this, stream, call] {
        if (!call->isCompleted) {
            m_streams[stream].pendingReads.remove(call);
            completeRead(stream, call, head(stream));
        }
    });
}

void fake_log::completeRead(const std::string &stream, const std::shared_ptr<pending_read> &call, log_offset head)
{
    call->isCompleted = true;
    const stream_state &state = m_streams[stream];

    read_result result;
    result.earliest = state.earliest;
    result.head = head;
    if (m_faults.outage) {
        result = unavailable("the log is down");
    } else if (call->from < state.earliest) {
        result.status = read_status::trimmed;
        result.reason = "offset " + std::to_string(call->from) + " has been removed by retention";
    } else {
        result.status = read_status::ok;
        std::size_t bytes = 0;
        for (log_offset offset = call->from; offset < head && result.records.size() < call->maximumRecords; ++offset) {
            const std::string &payload = state.records[offset - state.earliest].payload;
            bytes += payload.size();
            if (bytes > m_settings.maximumReadBytes && !result.records.empty()) {
                break;
            }
            result.records.push_back({offset, payload});
        }
    }

    m_calls.after(halfLatency(), [this, result = std::move(result), call] {
        const auto done = std::move(call->done);
        done(m_faults.outage ? unavailable("the log is down") : result);
    });
}

log_offset fake_log::write(const std::string &stream, std::string payload)
{
    stream_state &state = m_streams[stream];
    const log_offset offset = state.earliest + state.records.size();
    state.records.push_back({std::move(payload), m_timers.now()});
    ++m_writeCount;
    applyRetention(state);

    std::list<std::shared_ptr<pending_read>> due;
    for (auto candidate = state.pendingReads.begin(); candidate != state.pendingReads.end();) {
        const auto next = std::next(candidate);
        if ((*candidate)->from <= offset) {
            due.splice(due.end(), state.pendingReads, candidate);
        }
        candidate = next;
    }
    for (const auto &call : due) {
        completeRead(stream, call, offset + 1);
    }

    return offset;
}

void fake_log::trim(const std::string &stream, log_offset before)
{
    stream_state &state = m_streams[stream];
    while (!state.records.empty() && state.earliest < before) {
        state.records.pop_front();
        ++state.earliest;
    }
}

log_offset fake_log::head(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.earliest + found->second.records.size();
}

log_offset fake_log::earliest(const std::string &stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.earliest;
}

std::vector<log_record> fake_log::records(const std::string &stream) const
{
    std::vector<log_record> result;
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return result;
    }

    for (const stored_record &record : found->second.records) {
        result.push_back({found->second.earliest + result.size(), record.payload});
    }
    return result;
}

std::vector<std::string> fake_log::streamNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, stream] : m_streams) {
        if (stream.earliest + stream.records.size() > 0) {
            names.push_back(name);
        }
    }
    return names;
}

std::uint64_t fake_log::writeCount() const
{
    return m_writeCount;
}

bool fake_log::drawFault(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

duration fake_log::randomDuration(duration maximum)
{
    return duration{std::uniform_int_distribution<duration::rep>(1, std::max<duration::rep>(1, maximum.count()))(m_random)};
}

duration fake_log::halfLatency() const
{
    return m_faults.latency / 2;
}

/** Takes one token from the bucket of the rate limit. Returns zero, or the time until the next token when the bucket is empty. */
duration fake_log::takeToken()
{
    if (m_faults.appendsPerSecond <= 0) {
        return duration::zero();
    }

    const time_point now = m_timers.now();
    m_tokens = std::min(bucketSize(m_faults.appendsPerSecond), m_tokens + toSeconds(now - m_tokensAt) * m_faults.appendsPerSecond);
    m_tokensAt = now;
    if (m_tokens >= 1) {
        m_tokens -= 1;
        return duration::zero();
    }

    const double missingMilliseconds = (1 - m_tokens) / m_faults.appendsPerSecond * 1000;
    return std::chrono::milliseconds{static_cast<std::int64_t>(std::ceil(missingMilliseconds))};
}

void fake_log::applyRetention(stream_state &stream)
{
    const time_point oldest = m_timers.now() - m_settings.retentionAge;
    while (stream.records.size() > m_settings.retentionRecords || (!stream.records.empty() && stream.records.front().writtenAt < oldest)) {
        stream.records.pop_front();
        ++stream.earliest;
    }
}

} // namespace parsleyglade
