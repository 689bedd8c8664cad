#include "scheduler/late_starts.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

void late_starts::addSent(const run_key &run, time_point until)
{
    m_awaited.push_back({run, until});
}

void late_starts::addRestored(const run_key &run, time_point until)
{
    m_orders.push_back({run, until, true, {}, false});
}

std::optional<time_point> late_starts::settle(const run_key &run)
{
    const auto awaited = std::find_if(m_awaited.begin(), m_awaited.end(), [&](const awaited_start &order) { return order.run == run; });
    if (awaited != m_awaited.end()) {
        m_awaited.erase(awaited);
    }
    const auto pending = std::find_if(m_orders.begin(), m_orders.end(), [&](const late_start &order) { return order.isPending && order.run == run; });
    if (pending == m_orders.end()) {
        return std::nullopt;
    }
    const time_point until = pending->until;
    m_orders.erase(pending);
    return until;
}

void late_starts::settleUnanswered(const run_key &run, time_point until, bool isBlocked)
{
    const auto pending = std::find_if(m_orders.begin(), m_orders.end(), [&](const late_start &order) { return order.isPending && order.run == run; });
    if (pending != m_orders.end()) {
        pending->isPending = false;
        return;
    }
    const auto awaited = std::find_if(m_awaited.begin(), m_awaited.end(), [&](const awaited_start &order) { return order.run == run; });
    if (awaited != m_awaited.end()) {
        m_awaited.erase(awaited);
        m_orders.push_back({run, until, isBlocked, {}, false});
    }
}

void late_starts::startNewBoot()
{
    for (const awaited_start &order : std::exchange(m_awaited, {})) {
        m_orders.push_back({order.run, order.until, false, {}, true});
    }
    unblock();
}

void late_starts::unblock()
{
    for (late_start &order : m_orders) {
        order.isBlocked = false;
        order.stopSentAt = time_point{};
    }
}

bool late_starts::confirmStop(const run_key &run)
{
    bool isFirst = false;
    for (late_start &order : m_orders) {
        if (order.run == run) {
            isFirst = isFirst || !order.isBlocked;
            order.isBlocked = true;
        }
    }
    return isFirst;
}

void late_starts::removeCarriedOut(const run_key &run)
{
    std::erase_if(m_awaited, [&](const awaited_start &order) { return order.run == run; });
    std::erase_if(m_orders, [&](const late_start &order) { return order.run == run; });
}

void late_starts::giveUp(const run_key &run)
{
    for (const awaited_start &order : m_awaited) {
        if (order.run == run) {
            m_orders.push_back({order.run, order.until, true, {}, true});
        }
    }
    std::erase_if(m_awaited, [&](const awaited_start &order) { return order.run == run; });
}

std::vector<run_key> late_starts::takeStops(time_point now, duration interval, const std::function<bool(const run_key &)> &isOver)
{
    std::vector<run_key> due;
    const late_start *oldest = nullptr; // of those that the current boot rejects
    for (const late_start &order : m_orders) {
        if (now - order.stopSentAt < interval || !isOver(order.run)) {
            continue;
        }
        if (!order.isBlocked) {
            due.push_back(order.run);
            noteStopSent(order.run, now);
        } else if (oldest == nullptr || order.stopSentAt < oldest->stopSentAt) {
            oldest = &order;
        }
    }
    if (due.empty() && oldest != nullptr && now - m_stopSentAt >= interval) {
        due.push_back(oldest->run);
        noteStopSent(oldest->run, now);
    }
    return due;
}

/** Notes that a stop of the run is sent. It blocks all orders to start that run. */
void late_starts::noteStopSent(const run_key &run, time_point now)
{
    m_stopSentAt = now;
    for (late_start &order : m_orders) {
        if (order.run == run) {
            order.stopSentAt = now;
        }
    }
}

void late_starts::hastenStop()
{
    m_stopSentAt = time_point{};
    for (late_start &order : m_orders) {
        order.stopSentAt = time_point{};
    }
}

void late_starts::removeExpired(time_point now)
{
    std::erase_if(m_orders, [now](const late_start &order) { return now > order.until; });
}

std::optional<time_point> late_starts::findExpiry(const run_key &run) const
{
    std::optional<time_point> latest;
    const auto consider = [&](const auto &order) {
        if (order.run == run) {
            latest = std::max(latest.value_or(order.until), order.until);
        }
    };
    std::for_each(m_orders.begin(), m_orders.end(), consider);
    std::for_each(m_awaited.begin(), m_awaited.end(), consider);
    return latest;
}

bool late_starts::awaitsResponse() const
{
    return !m_awaited.empty() || std::any_of(m_orders.begin(), m_orders.end(), [](const late_start &order) { return order.isPending; });
}

bool late_starts::isEmpty() const
{
    return m_orders.empty();
}

const std::vector<late_start> &late_starts::orders() const
{
    return m_orders;
}

} // namespace parsleyglade
