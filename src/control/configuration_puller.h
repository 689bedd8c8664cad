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
 * Fetches a newer configuration from another entry host when the store does not deliver it in time. Uses a separate connection, so that the
 * transfer of a large configuration does not delay probes and calls.
 */
class configuration_puller
{
public:
    /** @param peers, settings must outlive the puller.
        @param pulled called on the loop's thread with the encoded operator record. */
    configuration_puller(event_loop &loop, const peer_settings &peers, const control_settings &settings, std::function<void(const std::string &)> pulled);
    configuration_puller(const configuration_puller &) = delete;
    configuration_puller &operator=(const configuration_puller &) = delete;
    ~configuration_puller() = default;

    /** Records that the entry host at the address has this version of the configuration. If it is newer than the one in force, a pull starts after
        configurationPullDelay. */
    void offer(const std::string &address, std::int64_t version);

    /** Sets the version in force on this entry host and cancels the pull in flight; a new one is scheduled if a peer has a still newer version. */
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
