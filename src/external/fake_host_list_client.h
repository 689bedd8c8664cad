#pragma once

#include "external/fake_host_list.h"

namespace parsleyglade {

/** One simulated host's access to a fake_host_list. While the host is cut off its fetches fail at their time limit. */
class fake_host_list_client final : public host_list_client
{
public:
    /** @param list,timers Must outlive this object. Callbacks do not run after destruction. */
    fake_host_list_client(fake_host_list &list, timer_service &timers, duration latency = std::chrono::milliseconds{1},
                          duration timeout = std::chrono::seconds{2});

    void fetch(std::function<void(outcome<host_list>)> done) override;

    bool isPartitioned() const;
    void setPartitioned(bool cutOff);

private:
    fake_host_list &m_list;
    duration m_latency;
    duration m_timeout;
    bool m_isPartitioned = false;
    delayed_calls m_calls;
};

} // namespace parsleyglade
