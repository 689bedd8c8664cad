#pragma once

#include "control/control_settings.h"
#include "control/host_client.h"
#include "control/keyed_store.h"
#include "control/record_decoder.h"
#include "core/timer_service.h"
#include "runtime/logger.h"
#include "scheduler/pool_planner.h"
#include "scheduler/wave_manager.h"

#include <functional>
#include <memory>

namespace parsleyglade {

/** Makes the leader's decisions about hosts and carries them out: lists hosts, sends orders, and reports the status of waves to the operator. */
class host_task
{
public:
    /** @param timers, store, hosts, decoder, settings, scheduling must outlive this object.
        @param maySendOrders whether this entry host certainly still leads; called before each order. */
    host_task(timer_service &timers, keyed_store &store, host_client &hosts, const record_decoder &decoder, const control_settings &settings,
              scheduler &scheduling, std::function<bool()> maySendOrders);
    host_task(const host_task &) = delete;
    host_task &operator=(const host_task &) = delete;
    ~host_task() = default;

    /** Starts a term of leadership. @param fence fencing token of the term */
    void lead(std::int64_t fence);

    /** Adds a maintenance wave. A wave that is already known is left unchanged. */
    void setWave(const wave_request &request);

    /** Requests the list of hosts, makes decisions and sends orders, each when it is due. To be called repeatedly. */
    void run();

private:
    void requestHosts();
    void sendOrder(const host_order &order);
    void handleOrderResult(const host_order &order, host_order_result result);
    void writeStatus(const wave_manager::status_update &update);

    timer_service &m_timers;
    keyed_store &m_store;
    host_client &m_hosts;
    const record_decoder &m_decoder;
    const control_settings &m_settings;
    wave_manager m_waves;
    pool_planner m_pools;
    std::function<bool()> m_maySendOrders;
    bool m_isListing = false;
    bool m_isHostListUnavailable = false;
    time_point m_nextList{};
    time_point m_nextDecision{};
    time_point m_nextPlan{};
    timer_subscription m_statusRetry;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    logger m_log{"hosts"};
};

} // namespace parsleyglade
