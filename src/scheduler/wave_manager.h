#pragma once

#include "scheduler/host_description.h"
#include "scheduler/scheduler.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/** Settings for maintenance waves. */
struct wave_manager_settings
{
    duration takeoverDelay = std::chrono::milliseconds{
        3200}; /**< How long a new leader orders no maintenance. By then the hosts that its predecessor ordered into maintenance are back. */
    duration maintenanceTimeout
        = std::chrono::seconds{8}; /**< A host that is still listed as up with its old executor after this time has not been maintained. */
    duration orderRetryDelay = std::chrono::milliseconds{500}; /**< Delay before a rejected order is repeated. */
    duration recordValidity
        = std::chrono::seconds{5}; /**< An order is sent within this time of its record, which tells a successor how recent the order may be. */
    double busyLoad = 0.45; /**< Share of a pool's processor capacity in use above which only one host at a time is evacuated. */
    double maximumEvacuatedShare = 0.34; /**< Maximum share of the hosts of a pool below that load that are evacuated or in maintenance at a time. */
    duration estimatedHostTime = std::chrono::milliseconds{
        4500}; /**< Expected time for one host, including evacuation. Used to decide whether a wave is likely to miss its deadline. */
};

/**
 * Carries out maintenance waves: evacuates hosts through the scheduler, orders their maintenance once they have no runs, and reports when
 * a wave is completed. An order is recorded in the journal before it is sent, so that a new leader knows which orders may be in flight.
 * Orders are idempotent within a wave.
 */
class wave_manager
{
public:
    /** State of a wave to be reported to the operator. */
    struct status_update
    {
        std::int64_t wave = 0;
        bool isCompleted = false;
    };

    wave_manager(scheduler &scheduling, wave_manager_settings settings);
    wave_manager(const wave_manager &) = delete;
    wave_manager &operator=(const wave_manager &) = delete;

    /** Starts leading with what previous leaders recorded. Call once, after scheduler::lead(). @param fence fencing token of the leader */
    void lead(std::int64_t fence, time_point now);

    /** Adds a wave. A wave that is already known is left unchanged. */
    void setWave(const wave_request &request, time_point now);

    /** Replaces the host list. @param requestedAt when the list was requested; it may not reflect later events */
    void setHosts(std::vector<host_description> hosts, time_point requestedAt);

    /** Reports the result of an order that takeOrders() returned. */
    void handleOrderResult(const host_order &order, host_order_result result, time_point now);

    /** Whether the host is being evacuated or maintained for a wave, and must not be moved. */
    bool needsHost(const std::string &host) const;

    /** Returns the host list, by name of the host. */
    const std::map<std::string, host_description> &hosts() const;

    /** Advances all waves. Does nothing before the first host list has been set.
        @param isMoving whether a host is about to move to another pool; such a host is chosen for maintenance only after the move */
    void decide(time_point now, const std::function<bool(const std::string &)> &isMoving);

    /** Returns the maintenance orders to send, and clears the list. Each result must be passed to handleOrderResult(). */
    std::vector<host_order> takeOrders();

    /** Returns the reports for the operator, and clears the list. */
    std::vector<status_update> takeStatusUpdates();

private:
    struct wave_state
    {
        wave_request request;
        time_point deadline{};
        std::set<std::string> startedHosts; /**< Hosts whose maintenance is confirmed to have started. */
        std::set<std::string> removedHosts; /**< Hosts that no longer exist or are not part of the wave. */
        bool isAnnounced = false; /**< The operator was informed that the wave is in progress. */
        bool isCompleted = false;
    };

    /** State of a host that is being evacuated or maintained for a wave. */
    struct host_maintenance
    {
        std::int64_t wave = 0;
        std::string executor; /**< Executor that ran on the host before its maintenance. */
        bool isOrdered = false;
        bool isOrderInFlight = false; /**< The order is in flight. */
        std::uint64_t recordedWith = 0; /**< Number of the journal batch that contains the next order; 0 before that order is recorded. */
        time_point recordedAt{};
        time_point orderedAt{};
        time_point resultKnownAt{}; /**< When the result of the order became known, or the wait for it timed out. */
        time_point notBefore{}; /**< Earliest time of the next order. */
    };

    struct pool_state
    {
        bool isStandby = false;
        int hosts = 0;
        int inProgress = 0; /**< Hosts that are being evacuated or maintained. */
        std::int64_t usedMillicores = 0; /**< Reserved on the known executors of the pool. */
        std::int64_t millicores = 0; /**< Capacity of the known executors of the pool. */
    };

    void reportHostStates(const std::map<std::string, host_description> &earlier);
    const host_description *findHost(const std::string &host) const;
    void advanceHosts(time_point now);
    void chooseHosts(wave_state &wave, const std::function<bool(const std::string &)> &isMoving, time_point now);
    void orderMaintenance(time_point now);
    int countHostsDown(std::int64_t wave) const;
    std::map<std::string, pool_state> surveyPools() const;
    int maximumConcurrentHosts(const pool_state &pool, const wave_request &request, bool isUrgent) const;
    void releaseHost(const std::string &host);
    void completeIfDone(wave_state &wave);

    scheduler &m_scheduler;
    wave_manager_settings m_settings;
    std::int64_t m_fence = 0;
    time_point m_mayOrderFrom{}; /**< No maintenance is ordered before this time. */
    std::map<std::int64_t, wave_state> m_waves;
    std::map<std::int64_t, std::set<std::string>> m_restoredStartedHosts; /**< Hosts whose maintenance earlier leaders started, by wave. */
    std::map<std::string, host_maintenance> m_maintenance;
    std::map<std::string, host_description> m_hosts;
    time_point m_hostsRequestedAt{}; /**< When the host list was requested. */
    std::vector<host_order> m_orders;
    std::vector<status_update> m_updates;
};

} // namespace parsleyglade
