#pragma once

#include "entry/entry_settings.h"
#include "entry/peer_task.h"
#include "entry/stream_follower.h"
#include "records/records.h"

#include <functional>

namespace parsleyglade {

/** What became of a publication. */
struct publish_result
{
    bool accepted = false;
    bool decided = false; /**< False when the log has not shown the proposal in time; it may still be decided later. */
    revision_number revision = 0;
    std::vector<failure> failures;
};

/** Tables that an operator wants to publish. */
struct publication
{
    std::int64_t id = 0; /**< The command's own number; the same command sent again has one effect. */
    revision_number baseRevision = 0;
    std::string routes; /**< JSON. */
    std::string pools; /**< JSON. */
    std::string author;
    std::string note;
};

/** Keeps the configuration: follows the log stream, exchanges records with peers, publishes, and writes snapshots. */
class configuration_task : public peer_task::listener
{
public:
    configuration_task(event_loop &loop, const entry_settings &settings, log_client &log, peer_task &peers);
    configuration_task(const configuration_task &) = delete;
    configuration_task &operator=(const configuration_task &) = delete;
    ~configuration_task() override = default;

    /** Sets who is told that another revision came into force. */
    void onChange(std::function<void()> changed);

    const configuration_fold &fold() const;
    std::shared_ptr<const tables> current() const;
    bool isLogReachable() const;
    const stream_follower &follower() const;

    /** Checks and appends a proposal, and waits for the log's order to decide it. */
    void publish(const publication &requested, std::function<void(publish_result)> done);

    /** Answers configuration messages of another entry host. Returns whether the message was one. */
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
    log_offset m_readFrom = 0; /**< Where reading goes on after records were trimmed. */
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
