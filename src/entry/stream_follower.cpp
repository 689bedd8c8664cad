#include "entry/stream_follower.h"

namespace parsleyglade {

namespace {

constexpr std::size_t recordsPerRead = 256;
constexpr duration longPoll = std::chrono::milliseconds{1000};
constexpr duration retryDelay = std::chrono::milliseconds{250};

/** Covers a long poll and a retry, with a margin for a slow reply. */
constexpr duration contactTimeout = std::chrono::milliseconds{3500};

} // namespace

stream_follower::stream_follower(event_loop &loop, log_client &log, std::string stream, callbacks handlers)
    : m_loop(loop)
    , m_log(log)
    , m_stream(std::move(stream))
    , m_callbacks(std::move(handlers))
{
    scheduleRead(duration::zero());
}

bool stream_follower::isLogReachable() const
{
    return m_lastContact && m_loop.now() - *m_lastContact <= contactTimeout;
}

std::optional<time_point> stream_follower::lastContact() const
{
    return m_lastContact;
}

std::uint64_t stream_follower::staleReads() const
{
    return m_staleReads;
}

void stream_follower::scheduleRead(duration delay)
{
    m_next = m_loop.after(delay, [this] { read(); });
}

void stream_follower::read()
{
    m_log.read(m_stream, m_callbacks.nextOffset(), recordsPerRead, longPoll, [this, alive = std::weak_ptr<bool>(m_alive)](const read_result &result) {
        if (!alive.expired()) {
            handle(result);
        }
    });
}

void stream_follower::handle(const read_result &result)
{
    if (result.status == read_status::unavailable) {
        m_logger.debug("could not read the log; retrying", {{"stream", m_stream}, {"reason", result.reason}});
        scheduleRead(retryDelay);
        return;
    }

    m_lastContact = m_loop.now();
    if (result.status == read_status::trimmed) {
        m_logger.warning("records were removed by retention before they were read; continuing at the earliest offset",
                         {{"stream", m_stream}, {"earliest", result.earliest}});
        m_callbacks.trimmed(result.earliest);
        scheduleRead(retryDelay);
        return;
    }

    // A stale or restarted replica is behind the offset already folded. Reading again without a delay would be a busy loop.
    if (result.head < m_callbacks.nextOffset() && result.records.empty()) {
        ++m_staleReads;
        scheduleRead(retryDelay);
        return;
    }

    m_callbacks.records(result.records);
    scheduleRead(duration::zero());
}

} // namespace parsleyglade
