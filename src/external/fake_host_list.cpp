#include "external/fake_host_list.h"

namespace parsleyglade {

fake_host_list::fake_host_list(timer_service &timers)
    : m_calls(timers)
{
}

void fake_host_list::setHosts(host_list list)
{
    const std::uint64_t version = ++m_version;
    const auto publish = [this, version, list = std::move(list)]() mutable {
        // After the lag was shortened, a newer list can become visible before an older one, which must not replace it later.
        if (version > m_visibleVersion) {
            m_visibleVersion = version;
            m_visible = std::move(list);
        }
    };

    if (m_lag <= duration::zero()) {
        auto publishNow = publish;
        publishNow();
        return;
    }
    m_calls.after(m_lag, publish);
}

const host_list &fake_host_list::visibleHosts() const
{
    return m_visible;
}

duration fake_host_list::lag() const
{
    return m_lag;
}

void fake_host_list::setLag(duration lag)
{
    m_lag = lag;
}

bool fake_host_list::isDown() const
{
    return m_isDown;
}

void fake_host_list::setDown(bool down)
{
    m_isDown = down;
}

} // namespace parsleyglade
