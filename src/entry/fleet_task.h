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

/** Published tables as fleet decisions see them. */
fleet_tables toFleetTables(const tables &published);

/** Keeps the fleet's state: follows the log stream and the host list, registers this process, acknowledges and completes
    moves, and appends drains and other records for operators. */
class fleet_task
{
public:
    /** What became of a record: applied, or not with a reason. */
    using record_callback = std::function<void(outcome<std::int64_t> record)>;
    using observation_source = std::function<endpoint_observation(const std::string &host)>;

    fleet_task(event_loop &loop, const entry_settings &settings, log_client &log, host_list_client &hostList, peer_task &peers);
    fleet_task(const fleet_task &) = delete;
    fleet_task &operator=(const fleet_task &) = delete;
    ~fleet_task() = default;

    /** Sets who is told that the fold or the host list has changed. */
    void onChange(std::function<void()> changed);

    /** Sets who is told that a host's move has ended: it serves another pool, or stays where it was. */
    void onPoolChange(std::function<void(const std::string &host)> changed);

    /** Sets who says what was seen of an endpoint. */
    void setObservationSource(observation_source source);

    void setTables(const std::shared_ptr<const tables> &published);

    const fleet_fold &fold() const;
    const fleet_tables &publishedHosts() const;
    const stream_follower &follower() const;

    /** The platform's word on a host; nothing of a host that it does not list. */
    listed_state listedState(const std::string &host) const;

    /** When the host list was last fetched; nothing before the first time. */
    std::optional<time_point> hostListFetchedAt() const;

    /** The membership of every published host in this host's view. */
    std::vector<host_membership> memberships() const;

    /** Appends a record and waits until the fold has decided it. */
    void append(const wire::fleet_record &record, record_callback done);

    /** A builder for records of this process, stamped with a new identifier and the time. */
    fleet_record_builder newRecord();

    /** Retires this incarnation; the callback runs when the log has it, or when it can't be reached in time. */
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
    std::map<std::string, std::int64_t> m_seenMoveEpochs; /**< Move epochs that were seen, by host. */
    observation_source m_observationSource = [](const std::string &) {
        return endpoint_observation{};
    };
    std::map<std::int64_t, pending_record> m_pendingRecords;
    std::map<std::string, time_point> m_lastAppends; /**< By purpose, so that a record under way is not written again at once. */
    std::map<std::string, time_point> m_drainedSince;
    std::mt19937_64 m_random{std::random_device{}()};
    timer_subscription m_hostListTimer;
    timer_subscription m_appendTimer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_logger{"fleet"};
    stream_follower m_follower;
};

} // namespace parsleyglade
