#pragma once

#include "external/external.h"
#include "runtime/runtime.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/** Follows one stream of the log by long polling and passes its records to the owning task, which folds them. Retries failed reads. */
class stream_follower
{
public:
    struct callbacks
    {
        std::function<log_offset()> nextOffset; /**< Returns the offset to read next. */
        std::function<void(const std::vector<log_record> &)> records;
        std::function<void(log_offset earliest)> trimmed; /**< Retention has removed unread records before this offset. */
    };

    stream_follower(event_loop &loop, log_client &log, std::string stream, callbacks handlers);
    stream_follower(const stream_follower &) = delete;
    stream_follower &operator=(const stream_follower &) = delete;
    ~stream_follower() = default;

    /** Whether the log has replied to a read within 3.5 s. */
    bool isLogReachable() const;

    /** Returns the time of the log's last reply to a read, nothing before the first one. */
    std::optional<time_point> lastContact() const;

    /** Returns the number of stale reads: those whose head was behind the offset already folded. */
    std::uint64_t staleReads() const;

private:
    void read();
    void handle(const read_result &result);
    void scheduleRead(duration delay);

    event_loop &m_loop;
    log_client &m_log;
    std::string m_stream;
    callbacks m_callbacks;
    std::optional<time_point> m_lastContact;
    std::uint64_t m_staleReads = 0;
    timer_subscription m_next;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"log"};
};

} // namespace parsleyglade
