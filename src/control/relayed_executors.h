#pragma once

#include "control/executor_client.h"
#include "control/relay_link.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace parsleyglade {

/**
 * Sends the leader's orders and polls to executors: on a large fleet through relays, which are other entry hosts in the data centre of the executor,
 * otherwise directly. All orders that are given in one iteration of the event loop and take the same relay share one message. An executor keeps its
 * relay for as long as that is in use, and the choice does not depend on who leads, so that relays keep their connections to executors.
 */
class relayed_executors final : public executor_client, private relay_link::listener
{
public:
    /** @param loop, direct, peers, settings, load must outlive this object */
    relayed_executors(event_loop &loop, executor_client &direct, const peer_settings &peers, const relay_settings &settings, leader_load &load);
    ~relayed_executors() override = default;

    /** Sets the number of executors. Relays are used from the first time that it reaches relay_settings::minimumFleet. */
    void setFleetSize(std::size_t executors);

    /** Records that an entry host with the processor share of a relay is alive. Relays are chosen at intervals, so that the candidates that are known by
        then, and not the first one that happens to report, are considered. */
    void recordCandidate(const std::string &address, const std::string &dataCentre);

    void start(const start_order &order, std::function<void(order_response)> done) override;
    void stop(const stop_order &order, std::function<void(order_response)> done) override;
    void pace(const pace_order &order, std::function<void(order_response)> done) override;
    void poll(const poll_order &order, std::function<void(poll_response)> done) override;

private:
    /** The relays of one data centre. */
    struct data_centre
    {
        std::map<std::string, time_point> candidates; /**< Address, and when the entry host was last known to be alive. */
        std::map<std::string, time_point> blockedUntil; /**< Relays that were lost or left, which are not opened again before this time. */
        std::vector<std::unique_ptr<relay_link>> links; /**< Opening, ready or leaving. */
    };

    void relayReady(const relay_link &link, duration roundTrip) override;
    void relayLeaving(const relay_link &link, const std::string &reason) override;
    void relayLost(const relay_link &link, const std::string &reason) override;
    /** The relay of the executor; null if the order is to be sent directly. */
    relay_link *findRelay(const order_target &target);
    void scheduleFlush();
    void flush();
    void openLinks(data_centre &centre);
    void maintain();
    void removeLater(const relay_link &link);
    void logEndOfUse(const relay_link &link, const std::string &reason) const;
    std::string dataCentreOf(const relay_link &link) const;
    void countRelays();

    event_loop &m_loop;
    executor_client &m_direct;
    const peer_settings &m_peers;
    const relay_settings &m_settings;
    leader_load &m_load;
    std::map<std::string, data_centre> m_dataCentres;
    bool m_usesRelays = false;
    bool m_isFlushScheduled = false;
    timer_subscription m_maintenanceTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"relay"};
};

} // namespace parsleyglade
