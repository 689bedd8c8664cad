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
    const auto awaited = std::find_if(m_awaited.begin(), m_awaited.end(), [&](const awaited_start &order) { return order.run == run; });
    if (awaited != m_awaited.end()) {
        m_awaited.erase(awaited);
    }
    const auto pending = std::find_if(m_orders.begin(), m_orders.end(), [&](const late_start &order) { return order.isPending && order.run == run; });
    if (pending != m_orders.end()) {
        pending->isPending = false;
    } else {
        m_orders.push_back({run, until, isBlocked, {}, false});
    }
}

void late_starts::startNewBoot()
{
    for (const awaited_start &order : std::exchange(m_awaited, {})) {
        m_orders.push_back({order.run, order.until, false, {}, true});
    }
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

std::vector<run_key> late_starts::takeStops(time_point now, duration repeatDelay)
{
    std::vector<run_key> due;
    for (late_start &order : m_orders) {
        if (!order.isBlocked && now - order.stopSentAt >= repeatDelay) {
            order.stopSentAt = now;
            due.push_back(order.run);
        }
    }
    return due;
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

bool late_starts::hasUnblocked() const
{
    return std::any_of(m_orders.begin(), m_orders.end(), [](const late_start &order) { return !order.isBlocked; });
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
