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

void bounded_writer::write(const std::string &line, time_point now)
{
    flush();
    const bool hasRoom = m_waiting.size() + line.size() < m_settings.maximumWaitingBytes;
    if (!takeToken(now) || !hasRoom) {
        ++m_leftOut;
        ++m_unreported;
        return;
    }
    if (m_unreported > 0 && now >= m_nextNotice) {
        m_nextNotice = now + m_settings.noticeInterval;
        m_waiting += "log: lines were left out count=" + std::to_string(m_unreported) + '\n';
        m_unreported = 0;
    }
    m_waiting += line;
    m_waiting += '\n';
    flush();
}

std::uint64_t bounded_writer::leftOut() const
{
    return m_leftOut;
}

bool bounded_writer::takeToken(time_point now)
{
    m_tokens = std::min(m_settings.burstLines, m_tokens + toSeconds(now - m_refilledAt) * m_settings.linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

void bounded_writer::flush()
{
    while (!m_waiting.empty()) {
        const ssize_t written = ::write(m_descriptor, m_waiting.data(), m_waiting.size());
        if (written <= 0) {
            const bool isGone = written < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
            if (isGone) {
                m_waiting.clear(); // nobody will read any more
            }
            return;
        }
        m_waiting.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace parsleyglade
