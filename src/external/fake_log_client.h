#pragma once

#include "external/fake_log.h"

namespace parsleyglade {

/**
 * Access of one simulated host to a fake_log. While the host is partitioned, its calls do not reach the log and it receives no results;
 * its appends end as unknown and its reads as unavailable after their timeout. Callbacks do not run after destruction.
 */
class fake_log_client final : public log_client
{
public:
    /** @param log,timers Must outlive this object. @param timeout Timeout of each call, in addition to the wait of a read. */
    fake_log_client(fake_log &log, timer_service &timers, duration timeout = std::chrono::seconds{2});
    ~fake_log_client() override;

    void append(const std::string &stream, std::string payload, std::function<void(append_result)> done) override;
    void read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done) override;

    bool isPartitioned() const;
    void setPartitioned(bool partitioned);

private:
    template <typename Result> std::function<void(Result)> withTimeout(duration timeout, std::function<void(Result)> done);

    fake_log &m_log;
    duration m_timeout;
    std::shared_ptr<bool> m_isPartitioned; /**< Shared with callbacks by weak pointers, so that none runs after destruction. */
    delayed_calls m_calls;
};

} // namespace parsleyglade
