#pragma once

#include "control/control_metrics.h"
#include "control/control_settings.h"
#include "control/host_task.h"
#include "control/journal_writer.h"
#include "control/leader_load.h"
#include "control/load_reporter.h"
#include "control/platform_clients.h"
#include "control/relayed_executors.h"
#include "control/topic_follower.h"
#include "runtime/event_loop.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace parsleyglade {

/** The work of the leader: runs the scheduler, appends its batches to the journal, sends its orders and reads the registry. Exists only while its
    entry host leads. */
class leader_task
{
public:
    using reply_function = std::function<void(const wire::work_reply &)>;

    /** @param peers of the connections to relays; must outlive this object, as the other references.
        @param restored scheduler with the state loaded from the journal.
        @param hasResigned whether the previous leader has resigned.
        @param takeoverOffset offset of this leader's takeover record, which is its fencing token.
        @param end offset at which the journal ends.
        @param ended called once, from the loop, when this entry host has stopped leading. */
    leader_task(event_loop &loop, const platform_clients &platform, const control_settings &settings, const peer_settings &peers, control_metrics &metrics,
                std::unique_ptr<scheduler> restored, bool hasResigned, std::uint64_t takeoverOffset, std::uint64_t end, std::function<void()> ended);
    leader_task(const leader_task &) = delete;
    leader_task &operator=(const leader_task &) = delete;
    ~leader_task();

    /** Passes a newer configuration to the scheduler. Calls that need a still newer one get the verdict not_leading. */
    void setConfiguration(const queue_configuration &configuration);

    /** Adds a maintenance wave. A wave that is already known is left unchanged. */
    void setWave(const wave_request &request);

    /** Takes note of another entry host that has probed this one, and may carry orders to executors. */
    void recordFollower(const wire::leader_probe &probe);

    /** Handles a call.
        @param reply called exactly once, possibly before this function returns and at the latest on destruction: with the verdict not_leading when the
            call was certainly not carried out, with undecided when it may have been. */
    void call(const wire::work_call &call, reply_function reply);

    /** Appends a resignation to the journal and then ends, so that another entry host can take over without waiting. */
    void resign();

    /** Ends at once, because another entry host leads. @param successor its peer address, for the log */
    void depose(const std::string &successor);

    /** Sets what is called each time isStoreRefusing() becomes true. */
    void onStoreRefusal(std::function<void()> callback);

    /** Whether the store refuses this leader's appends, or does not answer them. While it does, the leader denies no job and counts no pending jobs from its
       own state, and sends no orders for hosts, so that another entry host may take over without watching the journal. */
    bool isStoreRefusing() const;

    /** Offset at which the journal ends as of the last confirmed append. */
    std::uint64_t journalEnd() const;

    /** Whether resign() was called. */
    bool isResigning() const;

    /** Time since the last confirmed append was sent. */
    duration journalAge() const;

    /** The scheduler, for inspection. */
    const scheduler &state() const;

    /** Metrics of the work since this entry host took over. */
    std::vector<metric> loadMetrics() const;

private:
    /** A call that waits until the journal confirms leadership by an append sent after the call was received. */
    struct deferred_call
    {
        wire::work_call call;
        reply_function reply;
        time_point receivedAt{};
    };

    bool needsConfirmation(const wire::work_call &call) const;
    void forwardToScheduler(const wire::work_call &call, reply_function reply);
    void forwardConfirmedCalls();
    void expireDeferredCalls();
    void scheduleRun();
    void run();
    void decide();
    void performActions();
    void sendPolls();
    void writeBatch();
    void perform(scheduler_action &action);
    void sendStart(const start_order &order);
    void sendStop(const stop_order &order);
    void sendPoll(poll_order &order);
    void handleRegistryRecord(const store_record &record);
    void handleStoreRefusal();
    void end(const std::string &reason);
    bool hasLeadershipLease() const;
    time_point leadershipLeaseEnd() const;
    std::weak_ptr<bool> alive() const;

    event_loop &m_loop;
    platform_clients m_platform;
    const control_settings &m_settings;
    control_metrics &m_metrics;
    std::unique_ptr<scheduler> m_scheduler;
    journal_writer m_journal;
    host_task m_hosts;
    topic_follower m_registry;
    std::function<void()> m_ended;
    std::function<void()> m_storeRefused;
    std::map<call_token, reply_function> m_pendingCalls;
    std::vector<deferred_call> m_deferredCalls; /**< In order of arrival. */
    call_token m_nextToken = 1;
    std::set<std::string> m_malformedEntries;
    timer_subscription m_decisionTimer;
    timer_subscription m_runTimer;
    timer_subscription m_deadlineTimer;
    timer_subscription m_loadTimer;
    time_point m_runDueAt{};
    leader_load m_load;
    load_reporter m_loadReporter;
    relayed_executors m_executors;
    bool m_isRunScheduled = false;
    bool m_isResigning = false;
    bool m_hasEnded = false;
    time_point m_lastRun{};
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"leader"};
    logger m_decisions{"scheduler"};
};

} // namespace parsleyglade
