#include "memory_store.h"

#include <algorithm>
#include <iterator>

namespace parsleyglade {

namespace {

constexpr duration responseDelay = std::chrono::milliseconds{2};
constexpr duration requestTimeout = std::chrono::milliseconds{100};

} // namespace

memory_store::memory_store(timer_service &timers)
    : m_timers(timers)
{
}

void memory_store::schedule(duration delay, std::function<void()> action)
{
    const std::uint64_t number = m_scheduled++;
    m_pending[number] = m_timers.after(delay, [this, number, action = std::move(action)] {
        const auto subscription = m_pending.extract(number); // kept until the action, which belongs to it, has returned
        action();
    });
}

std::uint64_t memory_store::put(store_topic topic, const std::vector<journal_entry> &entries)
{
    topic_state &state = m_topics[topic];
    const std::uint64_t offset = state.records.size();
    for (const journal_entry &entry : entries) {
        state.newest[entry.key] = state.records.size();
        state.records.push_back({state.records.size(), entry.key, entry.value});
    }
    return offset;
}

void memory_store::append(store_topic topic, const std::vector<journal_entry> &entries, std::optional<std::uint64_t> expectedEnd,
                          std::function<void(store_append_result)> done)
{
    append_fault fault = append_fault::none;
    if (!appendFaults.empty()) {
        fault = appendFaults.front();
        appendFaults.pop_front();
    }
    if (isDown || fault == append_fault::refused) {
        schedule(responseDelay, [done] { done({store_append_status::refused, 0, 0, "refused"}); });
        return;
    }
    if (fault == append_fault::request_lost) {
        schedule(requestTimeout, [done] { done({store_append_status::unknown, 0, 0, "no response"}); });
        return;
    }

    store_append_result result;
    if (expectedEnd && *expectedEnd != end(topic)) {
        result = {store_append_status::conflict, 0, end(topic), "conflict"};
    } else {
        const std::uint64_t offset = put(topic, entries);
        result = {store_append_status::appended, offset, end(topic), {}};
    }
    if (fault == append_fault::response_lost) {
        schedule(requestTimeout, [done] { done({store_append_status::unknown, 0, 0, "no response"}); });
        return;
    }
    schedule(responseDelay, [done, result] { done(result); });
}

void memory_store::read(store_topic topic, std::uint64_t from, store_read_bounds bounds, std::function<void(store_read_result)> done)
{
    if (unansweredReads > 0) {
        --unansweredReads;
        return;
    }
    schedule(responseDelay, [this, topic, from, until = m_timers.now() + bounds.wait, maximumBytes = bounds.maximumBytes, done = std::move(done)] {
        completeRead(topic, from, until, maximumBytes, done);
    });
}

duration memory_store::transferTime(const std::vector<store_record> &records) const
{
    std::size_t bytes = 0;
    for (const store_record &record : records) {
        bytes += record.value.size();
    }
    return bytesPerSecond == 0 ? duration::zero() : duration(std::chrono::microseconds{bytes * 1'000'000 / bytesPerSecond});
}

void memory_store::completeRead(store_topic topic, std::uint64_t from, time_point until, std::size_t maximumBytes, std::function<void(store_read_result)> done)
{
    const topic_state &state = m_topics[topic];
    store_read_result result;
    result.next = from;
    if (isDown) {
        result.reason = "down";
        done(result);
        return;
    }
    if (from < state.first) {
        result.status = store_read_status::trimmed;
        done(result);
        return;
    }
    result.status = store_read_status::ok;
    std::size_t bytes = 0;
    for (std::uint64_t offset = from; offset < state.records.size() && bytes < maximumBytes; ++offset) {
        result.records.push_back(state.records[offset]);
        bytes += state.records[offset].value.size();
    }
    result.next = from + result.records.size();
    result.end = state.records.size();
    if (result.records.empty() && m_timers.now() < until) {
        m_waitingReads.push_back({topic, from, until, maximumBytes, std::move(done)});
        if (!m_isWaitTimerRunning) {
            m_isWaitTimerRunning = true;
            m_waitTimer = m_timers.every(responseDelay, [this] { checkWaitingReads(); });
        }
        return;
    }
    deliveredReadRecords[topic] += result.records.size();
    schedule(transferTime(result.records), [done = std::move(done), result] { done(result); });
}

/** Completes the waiting reads whose time is over or that have a record. */
void memory_store::checkWaitingReads()
{
    const auto isDue = [this](const waiting_read &read) {
        return isDown || read.from < m_topics[read.topic].first || read.from < end(read.topic) || m_timers.now() >= read.until;
    };
    const auto firstDue = std::stable_partition(m_waitingReads.begin(), m_waitingReads.end(), [&](const waiting_read &read) { return !isDue(read); });
    const std::vector<waiting_read> due(std::make_move_iterator(firstDue), std::make_move_iterator(m_waitingReads.end()));
    m_waitingReads.erase(firstDue, m_waitingReads.end());
    for (const waiting_read &read : due) {
        completeRead(read.topic, read.from, read.until, read.maximumBytes, read.done);
    }
}

void memory_store::readNewest(store_topic topic, const std::string &afterKey, std::function<void(store_page)> done)
{
    schedule(responseDelay, [this, topic, afterKey, done = std::move(done)] {
        store_page page;
        if (isDown) {
            page.reason = "down";
            done(page);
            return;
        }
        page.isAvailable = true;
        page.end = end(topic);
        const topic_state &state = m_topics[topic];
        for (auto entry = state.newest.upper_bound(afterKey); entry != state.newest.end(); ++entry) {
            const store_record &record = state.records[entry->second];
            if (record.value.empty()) {
                continue;
            }
            if (page.records.size() == pageSize) {
                page.hasMore = true;
                break;
            }
            page.records.push_back(record);
        }
        deliveredPageRecords += page.records.size();
        schedule(transferTime(page.records), [done, page] { done(page); });
    });
}

void memory_store::trimHistory(store_topic topic)
{
    m_topics[topic].first = m_topics[topic].records.size();
}

std::uint64_t memory_store::end(store_topic topic) const
{
    const auto found = m_topics.find(topic);
    return found == m_topics.end() ? 0 : found->second.records.size();
}

const std::vector<store_record> &memory_store::records(store_topic topic) const
{
    return m_topics.at(topic).records;
}

} // namespace parsleyglade
