#include "scheduler/host_order_history.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// An order without an answer may be carried out seconds later.
constexpr duration lateOrderTimeout = std::chrono::milliseconds{12'500};

} // namespace

void host_order_history::restore(const std::string &host, time_point latest)
{
    host_orders &orders = m_hosts[host];
    orders.latest = std::max(orders.latest, latest);
}

void host_order_history::noteSent(const std::string &host)
{
    ++m_hosts[host].inFlight;
}

void host_order_history::noteResult(const std::string &host, bool mayArriveLate, time_point now)
{
    host_orders &orders = m_hosts[host];
    orders.inFlight = std::max(orders.inFlight - 1, 0);
    orders.latest = std::max(orders.latest, now);
    if (mayArriveLate) {
        orders.mayArriveUntil = now + lateOrderTimeout;
    }
}

std::optional<duration> host_order_history::age(const std::string &host, time_point now) const
{
    const auto found = m_hosts.find(host);
    if (found == m_hosts.end()) {
        return std::nullopt;
    }
    const bool isUnderWay = found->second.inFlight > 0 || now < found->second.mayArriveUntil;
    return isUnderWay ? duration::zero() : std::max(now - found->second.latest, duration::zero());
}

} // namespace parsleyglade
