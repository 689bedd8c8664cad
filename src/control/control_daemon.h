#pragma once

#include "control/executor_relay.h"
#include "control/leadership_task.h"
#include "control/queue_lookup.h"
#include "control/work_gateway.h"
#include "teams/key_check.h"
#include "transport/peer_server.h"

#include <memory>
#include <optional>
#include <string>

namespace parsleyglade {

/** The control plane of one entry host: keeps the configuration current, takes part in leader election, and forwards calls to the leader. */
class control_daemon
{
public:
    /** @param loop, platform the loop and the clients must outlive the daemon. */
    control_daemon(event_loop &loop, const platform_clients &platform, control_settings settings, peer_settings peers);
    control_daemon(const control_daemon &) = delete;
    control_daemon &operator=(const control_daemon &) = delete;
    ~control_daemon() = default;

    /** Listens for the other entry hosts, and starts reading the store and electing a leader. Fails with invalid_value when the peer address
        can't be bound. */
    outcome<bool> start();

    /** Whether callers can be served: a configuration is in force, a working leader is known, and retire() was not called. */
    bool isReady() const;

    /** The configuration in force; its version is 0 until one was received. */
    const queue_configuration &configuration() const;

    /** Finds the queue that serves a request, by the host name and path of the request. */
    queue_lookup findQueue(std::string_view host, std::string_view path) const;

    /** Decides about the key of a request for a queue. @param keyDigest of the key; nothing if the request has none */
    key_verdict checkKeyFor(const queue_policy &queue, const std::optional<std::string> &keyDigest) const;

    leadership_task &leadership();
    work_gateway &gateway();

    /** The metrics of this entry host in the text format of the metrics endpoint. */
    std::string metricsPage();

    /** The states of the teams as a JSON document; nothing unless this entry host leads. @see renderTeams() */
    std::optional<std::string> teamsDocument() const;

    /** Resigns leadership permanently, gives up the duty of a relay and makes isReady() false. Calls are still forwarded to the next leader. */
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
    executor_relay m_relay;
    peer_server m_server;
    topic_follower m_operators;
    std::size_t m_configurationBytes = 0; /**< Size of the operator record in force. */
    bool m_isRetired = false;
    logger m_log{"control"};
};

} // namespace parsleyglade
