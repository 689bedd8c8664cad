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

/** Latest heartbeat of another entry host. */
struct peer_state
{
    peer_identity identity;
    wire::heartbeat heartbeat;
    time_point lastHeartbeatAt{}; /**< Time at which the heartbeat arrived. */
};

/** Connections to the other entry hosts: exchanges heartbeats, requests and replies. Owns the outgoing links and the peer listener. */
class peer_task
{
public:
    using request_handler = peer_server::request_handler;

    /** Receives events of peers. */
    class listener
    {
    public:
        virtual ~listener() = default;

        /** Called for each heartbeat of another entry host. */
        virtual void heartbeatReceived(const peer_state &)
        {
        }

        /** Called when a new process of an entry host replaces an incarnation. @param former the replaced incarnation */
        virtual void peerReplaced(incarnation_id /*former*/)
        {
        }

        /** Called when a link to another entry host is ready for requests. */
        virtual void peerConnected(const std::string & /*entryHost*/)
        {
        }
    };

    peer_task(event_loop &loop, const entry_settings &settings, incarnation_id incarnation);
    peer_task(const peer_task &) = delete;
    peer_task &operator=(const peer_task &) = delete;
    ~peer_task() = default;

    /** Starts listening, connects to the configured peers and returns the bound port. Fails when the address can't be bound. */
    outcome<std::uint16_t> start();

    /** Adds a listener, which must outlive the task. */
    void addListener(listener *added);

    /** Sets the function that makes this host's heartbeat. No heartbeats are sent without one. */
    void setHeartbeatSource(std::function<wire::heartbeat()> source);

    /** Sets the handler for messages of other entry hosts, except heartbeats. */
    void setRequestHandler(request_handler handler);

    /** Connects to further peer addresses from the host list. Known addresses are ignored. */
    void addAddresses(const std::vector<std::string> &addresses);

    /** Returns the entry hosts that are connected and have sent a heartbeat within 1.5 s, ordered by name. */
    std::vector<peer_state> livePeers() const;

    /** Returns every entry host that has ever sent a heartbeat to this process, ordered by name. */
    std::vector<peer_state> knownPeers() const;

    /** Whether a peer is connected and has sent a heartbeat within 1.5 s. */
    bool isLive(const std::string &entryHost) const;

    /**
     * Whether rendezvous hashing selects this host for a subject, among itself and the live, ready entry hosts that reach the log. This is
     * a hint, not mutual exclusion: two hosts with different views may both be selected.
     * @param dataCentre restricts the candidates to a data centre; empty for all
     */
    bool isSelected(std::string_view subject, const std::string &dataCentre = {}) const;

    /** Returns the name of the live entry host with an incarnation, empty when there is none. */
    std::string entryHostOf(incarnation_id incarnation) const;

    /** Sends a request to an entry host. Fails with peer_unreachable when there is no ready link to it. @see peer_link::request */
    void request(const std::string &entryHost, const wire::peer_message &message, duration timeout, peer_link::reply_callback done);

    /** Sends a message that expects no reply to every connected entry host. */
    void broadcast(const wire::peer_message &message);

    /** Returns the identifier of this process's incarnation. */
    incarnation_id incarnation() const;

    /** Returns the name of this entry host. */
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
    std::map<std::string, std::unique_ptr<peer_link>> m_links; /**< Keyed by address. */
    std::map<std::string, peer_state> m_peers; /**< Keyed by entry host. */
    std::vector<listener *> m_listeners;
    std::function<wire::heartbeat()> m_heartbeat;
    request_handler m_handler;
    timer_subscription m_heartbeatTimer;
    int m_heartbeatCount = 0;
    logger m_log{"peer"};
};

} // namespace parsleyglade
