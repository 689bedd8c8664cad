#pragma once

#include "control/control_settings.h"
#include "runtime/event_loop.h"
#include "runtime/logger.h"
#include "transport/peer_link.h"

#include <functional>
#include <memory>
#include <string>

namespace parsleyglade {

/**
 * Fetches a newer configuration from another entry host when the store does not deliver it. Uses a connection of its own, so that a large
 * configuration delays no probe and no call.
 */
class configuration_puller
{
public:
    /** @param pulled called with the operator's record. */
    configuration_puller(event_loop &loop, const peer_settings &peers, const control_settings &settings, std::function<void(const std::string &)> pulled);
    configuration_puller(const configuration_puller &) = delete;
    configuration_puller &operator=(const configuration_puller &) = delete;
    ~configuration_puller() = default;

    /** Another entry host has this version of the configuration. */
    void offer(const std::string &address, std::int64_t version);

    /** The version that is in force here. */
    void setVersion(std::int64_t version);

private:
    bool isBehind() const;
    void schedulePull();
    void pull();
    void sendRequest();
    void handleReply(const outcome<wire::peer_message> &reply);
    void closeLink();

    event_loop &m_loop;
    const peer_settings &m_peers;
    const control_settings &m_settings;
    std::function<void(const std::string &)> m_pulled;
    std::int64_t m_version = 0;
    std::int64_t m_offeredVersion = 0;
    std::string m_offeringPeer;
    std::unique_ptr<peer_link> m_link;
    timer_subscription m_timer;
    logger m_log{"control"};
};

} // namespace parsleyglade
