#pragma once

#include "entry/entry_settings.h"
#include "entry/peer_task.h"
#include "entry/stream_follower.h"
#include "records/records.h"

#include <functional>

namespace parsleyglade {

/** Result of a publication. */
struct publish_result
{
    bool accepted = false;
    bool decided = false; /**< False when the proposal was not read back from the log in time; it may still be decided later. */
    revision_number revision = 0; /**< The new revision when accepted, otherwise the one in force. */
    std::vector<failure> failures;
};

/** Request of an operator to publish tables. */
struct publication
{
    std::int64_t id = 0; /**< Idempotency identifier, chosen by the operator's client. A command that is sent again has no further effect. */
    revision_number baseRevision = 0; /**< Revision that the tables were derived from. */
    std::string routes; /**< JSON. */
    std::string pools; /**< JSON. */
    std::string author;
    std::string note;
};

/**
 * Maintains this host's replica of the configuration. Follows the log's configuration stream, exchanges records with other entry hosts,
 * publishes tables and writes snapshots. Records from peers keep the configuration current while this host can't reach the log.
 */
class configuration_task : public peer_task::listener
{
public:
    configuration_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers);
    configuration_task(const configuration_task &) = delete;
    configuration_task &operator=(const configuration_task &) = delete;
    ~configuration_task() override = default;

    /** Sets the callback that runs when another revision has come into force. */
    void onChange(std::function<void()> changed);

    /** Returns this host's replica of the configuration. */
    const configuration_fold &fold() const;

    /** Returns the tables in force. */
    std::shared_ptr<const tables> current() const;

    /** Whether the log has replied to a read of the configuration stream recently. */
    bool isLogReachable() const;

    /** Returns the reader of the log's configuration stream. */
    const stream_follower &follower() const;

    /**
     * Validates tables and appends them to the log as a proposal. The callback runs once: when the proposal's place in the log has decided
     * it, when validation fails or the log refuses the append, or after a timeout of 5 s with `decided` false. A second call with the same
     * identifier replaces the callback of a pending one.
     */
    void publish(const publication &requested, std::function<void(publish_result)> done);

    /** Handles configuration messages of another entry host. Returns false, without a reply, for any other message. */
    bool serve(wire::peer_message &message, const peer_server::reply_function &reply);

    void heartbeatReceived(const peer_state &peer) override;

private:
    struct pending_publication
    {
        std::function<void(publish_result)> done;
        timer_subscription timeout;
    };

    void apply(log_offset offset, std::string_view bytes, bool fromPeer);
    void applyRecords(const std::vector<log_record> &records);
    void handleTrim(log_offset earliest);
    void pushToPeers(log_offset offset, std::string_view bytes);
    void fetchFrom(const std::string &entryHost);
    void completeDecidedPublications();
    void writeSnapshotIfDue();

    event_loop &m_loop;
    log_client &m_log;
    peer_task &m_peers;
    duration m_snapshotInterval;
    configuration_fold m_fold;
    log_offset m_readFrom = 0; /**< Lowest offset to read next; lies beyond the fold's offset after records were trimmed. */
    std::function<void()> m_changed = [] {
    };
    std::map<std::int64_t, pending_publication> m_pendingPublications;
    bool m_isFetching = false;
    bool m_isWritingSnapshot = false;
    time_point m_snapshotAt{};
    timer_subscription m_snapshotTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"config"};
    stream_follower m_follower;
};

} // namespace parsleyglade
