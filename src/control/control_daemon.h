#pragma once

#include "control/leadership_task.h"
#include "control/queue_lookup.h"
#include "control/work_gateway.h"
#include "transport/peer_server.h"

#include <memory>

namespace parsleyglade {

/** The control plane of one entry host: follows the configuration, takes part in leading, and carries callers' calls. */
class control_daemon
{
public:
    control_daemon(event_loop &loop, const platform_clients &platform, control_settings settings, peer_settings peers);
    control_daemon(const control_daemon &) = delete;
    control_daemon &operator=(const control_daemon &) = delete;
    ~control_daemon() = default;

    /** Listens for the other entry hosts and begins. Fails with invalid_value when the address can't be bound. */
    outcome<bool> start();

    /** Whether callers can be served: there is a configuration, and a leader that works. */
    bool isReady() const;

    const queue_configuration &configuration() const;

    /** The queue of a request by its host and path. */
    queue_lookup findQueue(std::string_view host, std::string_view path) const;

    leadership_task &leadership();
    work_gateway &gateway();

    /** The page for the metrics address. */
    std::string metricsPage();

    /** Leads no more; calls are still carried to the next leader. */
    void retire();

private:
    void handleOperatorRecord(const store_record &record);
    void handleWave(const store_record &record);
    void applyConfiguration(const std::string &encoded, std::string_view source);

    event_loop &m_loop;
    const record_decoder &m_decoder;
    control_settings m_settings;
    peer_settings m_peers;
    queue_configuration m_configuration;
    leadership_task m_leadership;
    work_gateway m_gateway;
    peer_server m_server;
    topic_follower m_operators;
    std::size_t m_configurationBytes = 0; /**< Of the operator's record in force. */
    bool m_isRetired = false;
    logger m_log{"control"};
};

} // namespace parsleyglade
