#pragma once

#include "external/external.h"
#include "runtime/runtime.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/** Reads one stream of the log without end, by long poll, and passes on what it finds. Owned by the task that folds the stream. */
class stream_follower
{
public:
    struct callbacks
    {
        std::function<log_offset()> nextOffset; /**< Where the fold goes on. */
        std::function<void(const std::vector<log_record> &)> records;
        std::function<void(log_offset earliest)> trimmed; /**< Retention has removed records before this offset. */
    };

    stream_follower(event_loop &loop, log_client &log, std::string stream, callbacks handlers);
    stream_follower(const stream_follower &) = delete;
    stream_follower &operator=(const stream_follower &) = delete;
    ~stream_follower() = default;

    /** Whether the log has answered a read lately. */
    bool isLogReachable() const;

    /** When the log last answered a read; nothing before the first. */
    std::optional<time_point> lastContact() const;

    /** Reads that showed a head below the folded offset: a stale replica. */
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
