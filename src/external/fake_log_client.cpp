#include "external/fake_log_client.h"

namespace parsleyglade {

fake_log_client::fake_log_client(fake_log &log, timer_service &timers, duration timeout)
    : m_log(log)
    , m_timeout(timeout)
    , m_isPartitioned(std::make_shared<bool>(false))
    , m_calls(timers)
{
}

fake_log_client::~fake_log_client() = default;

/** Returns a callback that forwards the result of the log, unless the timeout has passed or the host is partitioned at that time. */
template <typename Result> std::function<void(Result)> fake_log_client::withTimeout(duration timeout, std::function<void(Result)> done)
{
    const auto pending = std::make_shared<std::function<void(Result)>>(std::move(done));
    m_calls.after(timeout, [pending] {
        if (const auto callback = std::exchange(*pending, nullptr)) {
            Result result;
            result.reason = "no response within the timeout";
            callback(std::move(result));
        }
    });

    return [pending, weak = std::weak_ptr<bool>(m_isPartitioned)](Result result) {
        const auto isPartitioned = weak.lock();
        if (!isPartitioned || *isPartitioned) {
            return;
        }
        if (const auto callback = std::exchange(*pending, nullptr)) {
            callback(std::move(result));
        }
    };
}

void fake_log_client::append(const std::string &stream, std::string payload, std::function<void(append_result)> done)
{
    auto callback = withTimeout<append_result>(m_timeout, std::move(done));
    if (!*m_isPartitioned) {
        m_log.append(stream, std::move(payload), std::move(callback));
    }
}

void fake_log_client::read(const std::string &stream, log_offset from, std::size_t maximumRecords, duration wait, std::function<void(read_result)> done)
{
    auto callback = withTimeout<read_result>(wait + m_timeout, std::move(done));
    if (!*m_isPartitioned) {
        m_log.read(stream, from, maximumRecords, wait, std::move(callback));
    }
}

bool fake_log_client::isPartitioned() const
{
    return *m_isPartitioned;
}

void fake_log_client::setPartitioned(bool partitioned)
{
    *m_isPartitioned = partitioned;
}

} // namespace parsleyglade
