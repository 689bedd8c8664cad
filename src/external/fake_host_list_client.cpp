#include "external/fake_host_list_client.h"

namespace parsleyglade {

fake_host_list_client::fake_host_list_client(fake_host_list &list, timer_service &timers, duration latency, duration timeout)
    : m_list(list)
    , m_latency(latency)
    , m_timeout(timeout)
    , m_calls(timers)
{
}

void fake_host_list_client::fetch(std::function<void(outcome<host_list>)> done)
{
    m_calls.after(m_isPartitioned ? m_timeout : m_latency, [this, wasPartitioned = m_isPartitioned, done = std::move(done)] {
        if (wasPartitioned || m_isPartitioned) {
            done(failure{result_code::host_list_unavailable, "no response within the timeout", {}});
            return;
        }
        if (m_list.isDown()) {
            done(failure{result_code::host_list_unavailable, "the host list is down", {}});
            return;
        }
        done(m_list.visibleHosts());
    });
}

bool fake_host_list_client::isPartitioned() const
{
    return m_isPartitioned;
}

void fake_host_list_client::setPartitioned(bool partitioned)
{
    m_isPartitioned = partitioned;
}

} // namespace parsleyglade
