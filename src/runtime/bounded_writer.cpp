#include "runtime/bounded_writer.h"

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace parsleyglade {

bounded_writer::bounded_writer(int descriptor, bounded_writer_settings settings)
    : m_descriptor(descriptor)
    , m_settings(settings)
    , m_tokens(settings.burstLines)
{
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void bounded_writer::write(const std::string &line, time_point now, line_priority priority)
{
    flush();
    const bool hasCapacity = m_buffer.size() + line.size() < m_settings.maximumBufferedBytes;
    if (!consumeToken(now, priority) || !hasCapacity) {
        ++m_droppedLines;
        ++m_unreportedLines;
        return;
    }
    if (m_unreportedLines > 0 && now >= m_nextNotice) {
        m_nextNotice = now + m_settings.noticeInterval;
        m_buffer += "log: lines were left out count=" + std::to_string(m_unreportedLines) + '\n';
        m_unreportedLines = 0;
    }
    m_buffer += line;
    m_buffer += '\n';
    flush();
}

std::uint64_t bounded_writer::droppedLines() const
{
    return m_droppedLines;
}

bool bounded_writer::dropUnformatted(time_point now)
{
    refillTokens(now);
    if (hasToken(line_priority::normal)) {
        return false;
    }
    ++m_droppedLines;
    ++m_unreportedLines;
    return true;
}

void bounded_writer::refillTokens(time_point now)
{
    m_tokens = std::min(m_settings.burstLines, m_tokens + toSeconds(now - m_refilledAt) * m_settings.linesPerSecond);
    m_refilledAt = now;
}

bool bounded_writer::hasToken(line_priority priority) const
{
    const double reserved = priority == line_priority::normal ? m_settings.reservedLines : 0.0;
    return m_tokens >= 1.0 + reserved;
}

bool bounded_writer::consumeToken(time_point now, line_priority priority)
{
    refillTokens(now);
    if (!hasToken(priority)) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void bounded_writer::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            const bool isClosed = written < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
            if (isClosed) {
                m_buffer.clear(); // the lines can no longer be delivered
            }
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace parsleyglade
