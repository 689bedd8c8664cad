#pragma once

#include "external/fake_log.h"

namespace parsleyglade {

/**
 * One simulated host's access to a fake_log. While the host is cut off, nothing that it sends arrives and no answer reaches it;
 * its calls end unknown or unavailable at their time limit. Callbacks do not run after destruction.
 */
class fake_log_client final : public log_client
{
public:
    /** @param log,timers Must outlive this object. @param timeout Of each call, in addition to the time that a read waits. */
    fake_log_client(fake_log &log, timer_service &timers, duration timeout = std::chrono::seconds{2});
    ~fake_log_client() override;

    void append(const std::string &stream, std::string payload, std::function<void(append_result)> done) override;
    void read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done) override;

    bool isPartitioned() const;
    void setPartitioned(bool cutOff);

private:
    template <typename Result> std::function<void(Result)> withTimeout(duration timeout, std::function<void(Result)> done);

    fake_log &m_log;
    duration m_timeout;
    std::shared_ptr<bool> m_isPartitioned; /**< Expires with this object, which ends the callbacks. */
    delayed_calls m_calls;
};

} // namespace parsleyglade
