#pragma once

#include "entry/entry_settings.h"
#include "entry/peer_task.h"
#include "entry/stream_follower.h"
#include "external/external.h"
#include "fleet/fleet.h"
#include "records/fleet_fold.h"
#include "records/fleet_record_builder.h"
#include "tables/tables.h"

#include <functional>
#include <map>
#include <optional>
#include <random>

namespace parsleyglade {

/** Extracts the pools and hosts that fleet decisions need from the published tables. */
fleet_tables toFleetTables(const tables &published);

/**
 * Maintains this host's replica of the fleet state. Follows the log's fleet stream and polls the platform's host list, registers this
 * process, acknowledges and completes moves, writes snapshots, and appends the records of operators and planners.
 */
class fleet_task
{
public:
    /** Receives the identifier of the applied record, or the reason why it was not applied. */
    using record_callback = std::function<void(outcome<std::int64_t> record)>;
    using observation_source = std::function<endpoint_observation(const std::string &host)>;

    fleet_task(event_loop &loop, const entry_settings &settings, log_client &log, host_list_client &hostList, peer_task &peers);
    fleet_task(const fleet_task &) = delete;
    fleet_task &operator=(const fleet_task &) = delete;
    ~fleet_task() = default;

    /** Sets the callback that runs when the fold or the host list has changed. */
    void onChange(std::function<void()> changed);

    /** Sets the callback that runs when a host's move has ended, whether it was completed or cancelled. */
    void onPoolChange(std::function<void(const std::string &host)> changed);

    /** Sets the source of endpoint observations. */
    void setObservationSource(observation_source source);

    /** Sets the tables in force. */
    void setTables(const std::shared_ptr<const tables> &published);

    /** Returns this host's replica of the fleet state. */
    const fleet_fold &fold() const;

    /** Returns the published pools and hosts. */
    const fleet_tables &publishedHosts() const;

    /** Returns the reader of the log's fleet stream. */
    const stream_follower &follower() const;

    /** Returns the state of a host in the platform's host list, `unlisted` when it is not there. */
    listed_state listedState(const std::string &host) const;

    /** Returns the time of the last successful fetch of the host list, nothing before the first one. */
    std::optional<time_point> hostListFetchedAt() const;

    /** Returns the pool membership of every published host in this entry host's view. */
    std::vector<host_membership> memberships() const;

    /**
     * Appends a record to the log. The callback runs once: when the fold has applied or rejected the record, when the log refuses the append,
     * or after a timeout of 5 s with log_append_unknown. A record whose identifier was already applied succeeds without another append. A
     * second call with the same identifier replaces the callback of a pending one.
     */
    void append(const wire::fleet_record &record, record_callback done);

    /** Returns a builder for records of this process, stamped with a new random identifier and the wall time. */
    fleet_record_builder newRecord();

    /**
     * Retires this incarnation in the fleet's records and stops registering it. The callback runs once: when the record is decided, after a
     * timeout of 2 s, or at once when the log is unreachable or this process is not registered.
     */
    void retire(std::function<void()> done);

private:
    struct pending_record
    {
        record_callback done;
        timer_subscription timeout;
    };

    void applyRecords(const std::vector<log_record> &records);
    void reportPoolChanges();
    void completeDecidedRecords();
    void fetchHostList();
    void applyHostList(const host_list &list);
    void appendDueRecords();
    void registerIfNeeded();
    void acknowledgeMoves();
    void completeMoves();
    void writeSnapshotIfDue();
    void appendOnce(const std::string &purpose, const wire::fleet_record &record);

    event_loop &m_loop;
    log_client &m_log;
    host_list_client &m_hostList;
    peer_task &m_peers;
    std::string m_region;
    std::string m_dataCentre;
    membership m_membership;
    fleet_fold m_fold;
    log_offset m_readFrom = 0;
    duration m_snapshotInterval;
    time_point m_snapshotAt{};
    bool m_isWritingSnapshot = false;
    bool m_hasRead = false;
    bool m_isRetiring = false;
    fleet_tables m_tables;
    std::map<std::string, listed_state> m_listedStates;
    std::optional<time_point> m_hostListFetchedAt;
    std::function<void()> m_changed = [] {
    };
    std::function<void(const std::string &host)> m_poolChanged = [](const std::string &) {
    };
    std::map<std::string, std::int64_t> m_lastMoveEpochs; /**< Last observed move epoch, keyed by host. */
    observation_source m_observationSource = [](const std::string &) {
        return endpoint_observation{};
    };
    std::map<std::int64_t, pending_record> m_pendingRecords;
    std::map<std::string, time_point> m_lastAppends; /**< Keyed by purpose; keeps a record in flight from being appended again at once. */
    std::map<std::string, time_point> m_drainedSince;
    std::mt19937_64 m_random{std::random_device{}()};
    timer_subscription m_hostListTimer;
    timer_subscription m_appendTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"fleet"};
    stream_follower m_follower;
};

} // namespace parsleyglade
