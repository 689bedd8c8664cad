#include "scheduler/restored_arrivals.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// Covers a time without a leader, and clocks that differ by seconds.
constexpr std::chrono::milliseconds maximumDistance{10'000};

} // namespace

void restored_arrivals::add(const std::string &queue, std::int64_t acceptedMilliseconds, std::int64_t work)
{
    m_arrivals.push_back({queue, acceptedMilliseconds, work, {}});
}

void restored_arrivals::keepNewest(duration length, time_point now, wall_time wallNow)
{
    const std::int64_t present = wallNow.time_since_epoch().count();
    std::erase_if(m_arrivals, [&](const arrival &item) { return item.acceptedMilliseconds > present + maximumDistance.count(); });
    const auto isEarlier = [](const arrival &left, const arrival &right) {
        return left.acceptedMilliseconds < right.acceptedMilliseconds;
    };
    std::sort(m_arrivals.begin(), m_arrivals.end(), isEarlier);
    if (m_arrivals.empty() || m_arrivals.back().acceptedMilliseconds < present - maximumDistance.count()) {
        m_arrivals.clear();
        return;
    }
    const std::int64_t newest = m_arrivals.back().acceptedMilliseconds;
    for (arrival &item : m_arrivals) {
        item.countsFrom = now - std::chrono::milliseconds(newest - item.acceptedMilliseconds);
    }
    std::erase_if(m_arrivals, [&](const arrival &item) { return item.countsFrom < now - length; });
}

const std::vector<restored_arrivals::arrival> &restored_arrivals::arrivals() const
{
    return m_arrivals;
}

void restored_arrivals::clear()
{
    m_arrivals.clear();
}

} // namespace parsleyglade
