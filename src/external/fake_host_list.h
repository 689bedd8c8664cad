#pragma once

#include "external/delayed_calls.h"
#include "external/host_list_client.h"

namespace parsleyglade {

/** In-memory fake of the platform's host list. Changes become visible to clients after a lag. @see fake_host_list_client, standin_host_list */
class fake_host_list
{
public:
    /** @param timers Must outlive this object. */
    explicit fake_host_list(timer_service &timers);
    fake_host_list(const fake_host_list &) = delete;
    fake_host_list &operator=(const fake_host_list &) = delete;

    /** Replaces the hosts. Clients see the new list after the current lag; a later setLag() doesn't affect it. */
    void setHosts(host_list list);

    /** The hosts that are currently visible to clients. */
    const host_list &visibleHosts() const;

    /** Delay until clients see a change; zero by default. */
    duration lag() const;
    void setLag(duration lag);

    /** Whether every fetch fails. */
    bool isDown() const;
    void setDown(bool down);

private:
    host_list m_visible;
    std::uint64_t m_version = 0;
    std::uint64_t m_visibleVersion = 0;
    duration m_lag{};
    bool m_isDown = false;
    delayed_calls m_calls;
};

} // namespace parsleyglade
