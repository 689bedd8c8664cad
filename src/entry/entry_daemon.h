#pragma once

#include "entry/admin_task.h"
#include "entry/caller_task.h"
#include "entry/claim_task.h"
#include "entry/configuration_task.h"
#include "entry/endpoint_task.h"
#include "entry/entry_settings.h"
#include "entry/fleet_task.h"
#include "entry/job_task.h"
#include "entry/peer_task.h"
#include "entry/planner_task.h"
#include "external/external.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/**
 * Composition root of an entry host's process: creates all tasks and connects them. The clients of the log and the host list are passed in,
 * so that other implementations can be used; both must outlive the daemon.
 */
class entry_daemon
{
public:
    entry_daemon(event_loop &loop, const entry_settings &settings, log_client &log, host_list_client &hostList);
    entry_daemon(const entry_daemon &) = delete;
    entry_daemon &operator=(const entry_daemon &) = delete;
    ~entry_daemon() = default;

    /** Starts the listeners. Fails at the first address that can't be bound. */
    outcome<bool> start();

    /**
     * Stops gracefully: stops accepting requests, waits for those in flight up to the drain timeout, then retires this incarnation and runs the
     * callback. Further calls have no effect.
     */
    void stop(std::function<void()> stopped);

private:
    void connectTasks();
    wire::heartbeat makeHeartbeat() const;
    void serve(const peer_identity &peer, wire::peer_message &message, const peer_server::reply_function &reply);
    void tablesChanged();
    bool isReady() const;
    void checkStopProgress();

    event_loop &m_loop;
    entry_settings m_settings;
    peer_task m_peers;
    claim_task m_claims;
    configuration_task m_configuration;
    fleet_task m_fleet;
    endpoint_task m_endpoints;
    job_task m_jobs;
    planner_task m_planner;
    caller_task m_callers;
    admin_task m_admin;
    bool m_isStopping = false;
    time_point m_stopDeadline{};
    std::function<void()> m_stopped;
    timer_subscription m_stopCheck;
    logger m_logger{"entry"};
};

} // namespace parsleyglade
