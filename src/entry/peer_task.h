#pragma once

#include "entry/entry_settings.h"
#include "transport/transport.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** What is known of another entry host. */
struct peer_state
{
    peer_identity identity;
    wire::heartbeat heartbeat;
    time_point lastHeartbeatAt{};
};

/** Connections to the other entry hosts: heartbeats, requests and their answers. Owns the links and the peer listener. */
class peer_task
{
public:
    using request_handler = peer_server::request_handler;

    /** Events for the other tasks. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** A heartbeat came from another entry host. */
        virtual void heartbeatReceived(const peer_state &)
        {
        }

        /** Another process has taken the place of an incarnation. */
        virtual void peerReplaced(incarnation_id /*former*/)
        {
        }

        /** A link to another entry host became ready. */
        virtual void peerConnected(const std::string & /*entryHost*/)
        {
        }
    };

    peer_task(event_loop &loop, const entry_settings &settings, incarnation_id incarnation);
    peer_task(const peer_task &) = delete;
    peer_task &operator=(const peer_task &) = delete;
    ~peer_task() = default;

    /** Listens and connects. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    void addListener(listener *added);

    /** Sets who makes this host's heartbeat. */
    void setHeartbeatSource(std::function<wire::heartbeat()> source);

    /** Sets who answers requests of other entry hosts, heartbeats aside. */
    void setRequestHandler(request_handler handler);

    /** Connects to further addresses that the host list names. */
    void addAddresses(const std::vector<std::string> &addresses);

    /** Entry hosts that are connected and were heard lately, in order of name. */
    std::vector<peer_state> livePeers() const;

    /** Every entry host that was ever heard, in order of name. */
    std::vector<peer_state> knownPeers() const;

    /** Whether a peer was heard lately and can be sent requests. */
    bool isLive(const std::string &entryHost) const;

    /** Whether rendezvous hashing selects this host for a subject, among the live and ready entry hosts that reach the log, of one
        data centre or, when it is empty, of all. A hint: two hosts with different views may both be selected. */
    bool isSelected(std::string_view subject, const std::string &dataCentre = {}) const;

    /** The name of the live entry host with an incarnation; empty when there is none. */
    std::string entryHostOf(incarnation_id incarnation) const;

    /** Sends a request to an entry host. @see peer_link::request */
    void request(const std::string &entryHost, const wire::peer_message &message, duration limit, peer_link::reply_callback done);

    /** Sends a message without reply to every connected entry host. */
    void broadcast(const wire::peer_message &message);

    incarnation_id incarnation() const;
    const std::string &self() const;

private:
    void connect(const std::string &address);
    void handle(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply);
    void handleHeartbeat(const peer_identity &peer, const wire::heartbeat &heartbeat);
    void sendHeartbeat(bool toAllDataCentres);
    peer_link *linkTo(const std::string &entryHost) const;

    event_loop &m_loop;
    peer_settings m_settings;
    std::string m_ownAddress;
    std::set<std::string> m_addresses;
    peer_server m_server;
    std::map<std::string, std::unique_ptr<peer_link>> m_links; /**< By address. */
    std::map<std::string, peer_state> m_peers; /**< By entry host. */
    std::vector<listener *> m_listeners;
    std::function<wire::heartbeat()> m_heartbeat;
    request_handler m_handler;
    timer_subscription m_heartbeatTimer;
    int m_heartbeatCount = 0;
    logger m_log{"peer"};
};

} // namespace parsleyglade
