#pragma once

#include "scheduler/host_description.h"
#include "scheduler/scheduler.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** Limits of the maintenance decisions. */
struct wave_manager_settings
{
    duration takeoverDelay
        = std::chrono::milliseconds{3200}; /**< A new leader orders no maintenance this long: hosts that its predecessor has ordered down are back by then. */
    duration maintenanceTimeout = std::chrono::seconds{8}; /**< After it a host that is listed as up with its old executor has not been maintained. */
    duration orderRetryDelay = std::chrono::milliseconds{500}; /**< Before an order that was refused is repeated. */
    double busyLoad = 0.45; /**< Share of a pool's processors in use from which only one host at a time is evacuated. */
    double maximumEvacuatedShare = 0.34; /**< Most of a pool that is not busy to be evacuated or in maintenance at a time. */
    duration estimatedHostTime = std::chrono::milliseconds{4500}; /**< What one host takes, evacuation included, for the plan against the time limit. */
};

/**
 * Carries out maintenance waves: evacuates hosts through the scheduler, orders their maintenance once nothing runs there, and says when
 * a wave is completed. An order is recorded in the journal before it is given, so that a new leader knows what may be under way.
 * Repeating an order for the same wave does no harm.
 */
class wave_manager
{
public:
    /** The operator is to be told the state of a wave. */
    struct status_update
    {
        std::int64_t wave = 0;
        bool isCompleted = false;
    };

    wave_manager(scheduler &scheduling, wave_manager_settings settings);
    wave_manager(const wave_manager &) = delete;
    wave_manager &operator=(const wave_manager &) = delete;

    /** Takes over what earlier leaders recorded. Called once, after scheduler::lead(). */
    void lead(std::int64_t fence, time_point now);

    void setWave(const wave_request &request, time_point now);

    /** The list of hosts. @param requestedAt when it was asked for; what happened later may be missing in it. */
    void setHosts(std::vector<host_description> hosts, time_point requestedAt);
    void handleOrderResult(const host_order &order, host_order_result result, time_point now);

    /** Whether the host is evacuated or maintained, or is to be soon. */
    bool needsHost(const std::string &host) const;

    const std::map<std::string, host_description> &hosts() const;

    void decide(time_point now);
    std::vector<host_order> takeOrders();
    std::vector<status_update> takeStatusUpdates();

private:
    struct wave_state
    {
        wave_request request;
        time_point deadline{};
        std::set<std::string> startedHosts; /**< Hosts whose maintenance has certainly begun. */
        std::set<std::string> removedHosts; /**< Hosts that do not exist any more. */
        bool isAnnounced = false;
        bool isCompleted = false;
    };

    /** A host that is evacuated or maintained for a wave. */
    struct host_maintenance
    {
        std::int64_t wave = 0;
        std::string executor; /**< That ran on the host before. */
        bool isOrdered = false;
        bool isOutstanding = false; /**< The order waits for its answer. */
        std::uint64_t recordedWith = 0; /**< Batch that has the order; 0 before it is decided. */
        time_point orderedAt{};
        time_point answeredAt{}; /**< When the order was answered, or was given up without an answer. */
        time_point notBefore{};
    };

    struct pool_state
    {
        bool isStandby = false;
        int hosts = 0;
        int inProgress = 0; /**< Hosts that are evacuated or maintained. */
        std::int64_t usedMillicores = 0;
        std::int64_t millicores = 0; /**< Of the executors that are known. */
    };

    const host_description *findHost(const std::string &host) const;
    void advanceHosts(time_point now);
    void chooseHosts(wave_state &wave, time_point now);
    void orderMaintenance(time_point now);
    int countHostsDown(std::int64_t wave) const;
    std::map<std::string, pool_state> surveyPools() const;
    int maximumConcurrentHosts(const pool_state &pool, const wave_request &request, bool isUrgent) const;
    void releaseHost(const std::string &host);
    void completeIfDone(wave_state &wave);

    scheduler &m_scheduler;
    wave_manager_settings m_settings;
    std::int64_t m_fence = 0;
    time_point m_mayOrderFrom{};
    std::map<std::int64_t, wave_state> m_waves;
    std::map<std::int64_t, std::set<std::string>> m_restoredStartedHosts;
    std::map<std::string, host_maintenance> m_maintenance;
    std::map<std::string, host_description> m_hosts;
    time_point m_hostsRequestedAt{}; /**< When the list was asked for. */
    std::vector<host_order> m_orders;
    std::vector<status_update> m_updates;
};

} // namespace parsleyglade
