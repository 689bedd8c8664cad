#pragma once

#include "external/fake_host_list.h"

namespace parsleyglade {

/** Access of one simulated host to a fake_host_list. While the host is partitioned, its fetches fail after the timeout. */
class fake_host_list_client final : public host_list_client
{
public:
    /** Callbacks do not run after destruction. @param list,timers Must outlive this object. @param latency From the call to the result. */
    fake_host_list_client(fake_host_list &list, timer_service &timers, duration latency = std::chrono::milliseconds{1},
                          duration timeout = std::chrono::seconds{2});

    void fetch(std::function<void(outcome<host_list>)> done) override;

    /** Whether the host can't reach the list. A fetch also fails when the host is partitioned at the time of its result. */
    bool isPartitioned() const;
    void setPartitioned(bool partitioned);

private:
    fake_host_list &m_list;
    duration m_latency;
    duration m_timeout;
    bool m_isPartitioned = false;
    delayed_calls m_calls;
};

} // namespace parsleyglade
