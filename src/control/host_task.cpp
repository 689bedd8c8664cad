#include "control/host_task.h"

namespace parsleyglade {

host_task::host_task(timer_service &timers, keyed_store &store, host_client &hosts, const record_decoder &decoder, const control_settings &settings,
                     scheduler &scheduling, std::function<bool()> maySendOrders)
    : m_timers(timers)
    , m_store(store)
    , m_hosts(hosts)
    , m_decoder(decoder)
    , m_settings(settings)
    , m_waves(scheduling, {settings.hostTakeoverDelay})
    , m_pools(scheduling, {settings.hostTakeoverDelay})
    , m_maySendOrders(std::move(maySendOrders))
{
}

void host_task::lead(std::int64_t fence)
{
    m_waves.lead(fence, m_timers.now());
    m_pools.lead(fence, m_timers.now());
}

void host_task::setWave(const wave_request &request)
{
    m_waves.setWave(request, m_timers.now());
}

void host_task::run()
{
    if (!m_isListing && m_timers.now() >= m_nextList) {
        requestHosts();
    }
    if (m_timers.now() < m_nextDecision) {
        return;
    }
    m_nextDecision
        = m_timers.now() + m_settings.hostDecisionInterval + m_settings.hostDecisionIntervalPerHost * static_cast<std::int64_t>(m_waves.hosts().size());
    m_waves.decide(m_timers.now(), [this](const std::string &host) { return m_pools.isMoving(host); });
    for (const wave_manager::status_update &update : m_waves.takeStatusUpdates()) {
        writeStatus(update);
    }
    for (const host_order &order : m_waves.takeOrders()) {
        sendOrder(order);
    }
    if (m_timers.now() >= m_nextPlan) {
        m_nextPlan = m_timers.now() + m_settings.poolPlanInterval;
        for (const host_order &order : m_pools.decide(
                 m_waves.hosts(), [this](const std::string &host) { return m_waves.needsHost(host); }, m_timers.now())) {
            sendOrder(order);
        }
        if (const auto shortage = m_pools.takeShortageReport(m_timers.now())) {
            m_log.notice("a pool lacks hosts " + *shortage);
        }
    }
}

void host_task::handleOrderResult(const host_order &order, host_order_result result)
{
    if (order.wave != 0) {
        m_waves.handleOrderResult(order, result, m_timers.now());
    } else {
        m_pools.handleOrderResult(order, result, m_timers.now());
    }
}

void host_task::requestHosts()
{
    m_isListing = true;
    m_nextList = m_timers.now() + m_settings.hostListInterval;
    m_hosts.list([this, requestedAt = m_timers.now(), alive = std::weak_ptr<bool>(m_alive)](const outcome<std::vector<host_description>> &hosts) {
        if (!alive.lock()) {
            return;
        }
        m_isListing = false;
        if (hosts) {
            m_waves.setHosts(*hosts, requestedAt);
        }
        if (m_isHostListUnavailable == hosts.hasValue()) {
            m_isHostListUnavailable = !hosts.hasValue();
            m_log.info(m_isHostListUnavailable ? "failed to list the hosts; retrying" : "listing the hosts succeeds again",
                       {{"reason", m_isHostListUnavailable ? hosts.lastReason().reason : ""}});
        }
    });
}

void host_task::sendOrder(const host_order &order)
{
    if (!m_maySendOrders()) {
        handleOrderResult(order, host_order_result::refused);
        return;
    }
    m_hosts.order(order, m_settings.entryHost, [this, order, alive = std::weak_ptr<bool>(m_alive)](host_order_result result) {
        if (alive.lock()) {
            handleOrderResult(order, result);
        }
    });
}

void host_task::writeStatus(const wave_manager::status_update &update)
{
    m_store.append(store_topic::status, {m_decoder.encodeWaveStatus(update.wave, update.isCompleted)}, std::nullopt,
                   [this, update, alive = std::weak_ptr<bool>(m_alive)](const store_append_result &result) {
                       if (!alive.lock() || result.status == store_append_status::appended) {
                           return;
                       }
                       // Writing a status is idempotent, so it is retried until the store confirms it.
                       m_statusRetry = m_timers.after(m_settings.storeRetryDelay, [this, update] { writeStatus(update); });
                   });
}

} // namespace parsleyglade
