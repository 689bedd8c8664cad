#include "virtual_log.h"

#include <algorithm>

namespace parsleyglade::measure {

virtual_log::virtual_log(virtual_time &time, double appendsPerSecond, duration callDuration, double burst)
    : m_time(time)
    , m_rate(appendsPerSecond)
    , m_callDuration(callDuration)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void virtual_log::append(int stream, const std::string &payload, const std::function<void(append_response)> &done)
{
    if (!takeToken()) {
        ++m_refusals;
        const append_response refused{append_response::kind::refused, 0, duration{static_cast<duration::rep>(1e6 / m_rate)}};
        m_time.after(m_callDuration, [done, refused] { done(refused); });
        return;
    }

    ++m_appends;
    m_bytes += payload.size();
    m_time.after(m_callDuration / 2, [this, stream, payload, done] {
        auto &records = m_streams[stream];
        records.push_back(payload);
        const append_response appended{append_response::kind::appended, records.size() - 1, {}};
        m_time.after(m_callDuration - m_callDuration / 2, [done, appended] { done(appended); });
    });
}

void virtual_log::read(int stream, log_offset from, std::size_t maximumRecords, const std::function<void(read_response)> &done)
{
    const auto &records = m_streams[stream];
    read_response response{read_response::kind::ok, {}, 0, records.size()};
    for (log_offset offset = from; offset < records.size() && response.records.size() < maximumRecords; ++offset) {
        response.records.push_back({offset, records[offset]});
    }
    m_time.after(m_callDuration, [done, response] { done(response); });
}

std::uint64_t virtual_log::appends() const
{
    return m_appends;
}

std::uint64_t virtual_log::refusals() const
{
    return m_refusals;
}

std::uint64_t virtual_log::bytes() const
{
    return m_bytes;
}

bool virtual_log::takeToken()
{
    m_tokens = std::min(m_burst, m_tokens + m_rate * toSeconds(m_time.now() - m_refilledAt));
    m_refilledAt = m_time.now();
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

} // namespace parsleyglade::measure
