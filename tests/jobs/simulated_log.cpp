#include "simulated_log.h"

namespace parsleyglade::testing {

using namespace std::chrono_literals;

log_offset simulated_log::store(const std::string &payload)
{
    if (isDrawn(m_faults.corruption)) {
        m_reference.apply(m_records.size(), "damaged");
        m_records.emplace_back("damaged");
    }
    m_reference.apply(m_records.size(), payload);
    m_records.push_back(payload);
    return m_records.size() - 1;
}

void simulated_log::append(const std::string &payload, std::function<void(append_response)> done)
{
    const duration requestDelay = m_faults.latency / 2 + m_random.upTo(m_faults.latency);
    const duration responseDelay = m_faults.latency / 2 + m_random.upTo(m_faults.latency);
    const auto respondAfter = [this, done](duration delay, append_response response) {
        m_events.after(delay, [done, response] { done(response); });
    };
    if (m_isDown || isDrawn(m_faults.refusal)) {
        const auto result = m_random.oneIn(2) ? append_response::kind::refused : append_response::kind::unknown;
        respondAfter(result == append_response::kind::refused ? requestDelay + responseDelay : duration{300ms}, {result, 0, {}});
        return;
    }
    if (isDrawn(m_faults.lateAppend)) {
        // The record is appended up to seconds after the response, as if the request had been delayed in a proxy.
        m_events.after(m_random.upTo(8s), [this, payload] { store(payload); });
        respondAfter(300ms, {append_response::kind::unknown, 0, {}});
        return;
    }

    const bool isLost = isDrawn(m_faults.lostResponse);
    const bool isDuplicate = isDrawn(m_faults.duplicate);
    m_events.after(requestDelay, [this, payload, respondAfter, responseDelay, isLost, isDuplicate] {
        const log_offset offset = store(payload);
        if (isDuplicate) {
            m_events.after(m_random.upTo(5s), [this, payload] { store(payload); });
        }
        respondAfter(isLost ? duration{300ms} : responseDelay,
                     {isLost ? append_response::kind::unknown : append_response::kind::appended, isLost ? 0 : offset, {}});
    });
}

void simulated_log::read(log_offset from, std::size_t maximumRecords, const std::function<void(read_response)> &done)
{
    read_response response;
    response.result = m_isDown ? read_response::kind::unavailable : read_response::kind::ok;
    response.earliest = m_earliest;
    response.head = m_records.size();
    if (isDrawn(m_faults.staleRead)) {
        response.head -= std::min<log_offset>(response.head - std::min<log_offset>(m_earliest, response.head), m_random.below(10));
    }
    if (response.result == read_response::kind::ok && from < m_earliest) {
        response.result = read_response::kind::trimmed;
    } else if (response.result == read_response::kind::ok) {
        for (log_offset offset = from; offset < response.head && response.records.size() < maximumRecords; ++offset) {
            response.records.push_back({offset, m_records[offset]});
        }
    }
    m_events.after(m_faults.latency + m_random.upTo(m_faults.latency), [done, response] { done(response); });
}

void simulated_log::trim()
{
    if (const auto asOf = m_reference.newestSnapshot()) {
        m_earliest = std::max(m_earliest, *asOf + 1);
    }
}

} // namespace parsleyglade::testing
