#include "model_log.h"

namespace parsleyglade::testing {

using namespace std::chrono_literals;

log_offset model_log::store(const std::string &payload)
{
    if (happens(m_faults.garbage)) {
        m_referee.apply(m_records.size(), "damaged");
        m_records.emplace_back("damaged");
    }
    m_referee.apply(m_records.size(), payload);
    m_records.push_back(payload);
    return m_records.size() - 1;
}

void model_log::append(const std::string &payload, std::function<void(append_answer)> done)
{
    const duration there = m_faults.latency / 2 + m_random.upTo(m_faults.latency);
    const duration back = m_faults.latency / 2 + m_random.upTo(m_faults.latency);
    const auto answerAfter = [this, done](duration delay, append_answer answer) {
        m_events.after(delay, [done, answer] { done(answer); });
    };
    if (m_isDown || happens(m_faults.refusal)) {
        const auto result = m_random.oneIn(2) ? append_answer::kind::refused : append_answer::kind::unknown;
        answerAfter(result == append_answer::kind::refused ? there + back : duration{300ms}, {result, 0, {}});
        return;
    }
    if (happens(m_faults.lateAppend)) {
        // The append outlives its answer by seconds, as one that waits in a proxy's buffer.
        m_events.after(m_random.upTo(8s), [this, payload] { store(payload); });
        answerAfter(300ms, {append_answer::kind::unknown, 0, {}});
        return;
    }

    const bool isLost = happens(m_faults.lostAnswer);
    const bool isDuplicate = happens(m_faults.duplicate);
    m_events.after(there, [this, payload, answerAfter, back, isLost, isDuplicate] {
        const log_offset offset = store(payload);
        if (isDuplicate) {
            m_events.after(m_random.upTo(5s), [this, payload] { store(payload); });
        }
        answerAfter(isLost ? duration{300ms} : back, {isLost ? append_answer::kind::unknown : append_answer::kind::appended, isLost ? 0 : offset, {}});
    });
}

void model_log::read(log_offset from, std::size_t maximumRecords, const std::function<void(read_answer)> &done)
{
    read_answer answer;
    answer.result = m_isDown ? read_answer::kind::unavailable : read_answer::kind::ok;
    answer.earliest = m_earliest;
    answer.head = m_records.size();
    if (happens(m_faults.staleRead)) {
        answer.head -= std::min<log_offset>(answer.head - std::min<log_offset>(m_earliest, answer.head), m_random.below(10));
    }
    if (answer.result == read_answer::kind::ok && from < m_earliest) {
        answer.result = read_answer::kind::trimmed;
    } else if (answer.result == read_answer::kind::ok) {
        for (log_offset offset = from; offset < answer.head && answer.records.size() < maximumRecords; ++offset) {
            answer.records.push_back({offset, m_records[offset]});
        }
    }
    m_events.after(m_faults.latency + m_random.upTo(m_faults.latency), [done, answer] { done(answer); });
}

void model_log::trim()
{
    if (const auto asOf = m_referee.newestSnapshot()) {
        m_earliest = std::max(m_earliest, *asOf + 1);
    }
}

} // namespace parsleyglade::testing
