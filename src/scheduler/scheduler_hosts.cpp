#include "scheduler/scheduler.h"

#include <algorithm>

namespace parsleyglade {

namespace {

// An order for a host that was recorded longer ago than this is certainly finished, even if a clock has jumped by some seconds.
constexpr std::chrono::milliseconds recentOrder{15'000};

} // namespace

std::vector<wire::host_record> scheduler::hostRecords() const
{
    std::vector<wire::host_record> records;
    for (const auto &[key, value] : m_hostRecords) {
        if (auto record = decode<wire::host_record>(value)) {
            records.push_back(std::move(*record));
        }
    }
    return records;
}

void scheduler::noteHostOrder(const std::string &host)
{
    m_hostOrders.noteSent(host);
}

void scheduler::noteHostOrderResult(const std::string &host, bool mayArriveLate, time_point now)
{
    m_hostOrders.noteResult(host, mayArriveLate, now);
}

std::map<std::string, time_point> scheduler::latestHostOrders() const
{
    std::map<std::string, time_point> latest;
    for (const wire::host_record &record : hostRecords()) {
        // Without a resignation the previous leader may have sent another order just before the takeover.
        const bool isAgeKnown = m_hasPredecessorResigned && record.orderAgeMilliseconds > 0;
        const wall_time recorded(std::chrono::milliseconds(record.orderedMilliseconds));
        if (isAgeKnown || m_wallNow - recorded < recentOrder) {
            const duration age = isAgeKnown ? std::chrono::milliseconds(record.orderAgeMilliseconds) : duration::zero();
            time_point &order = latest.try_emplace(record.host, m_now - age).first->second;
            order = std::max(order, m_now - age);
        }
    }
    return latest;
}

/** Records the age of each order for a host that a successor would otherwise take for new. The record names one host but not which of its orders was the last,
    so the move and the maintenance of a host get the same age. */
void scheduler::recordHostOrderAges(time_point now)
{
    for (auto &[key, value] : m_hostRecords) {
        auto record = decode<wire::host_record>(value);
        const std::optional<duration> age = record ? m_hostOrders.age(record->host, now) : std::nullopt;
        if (!age || *age >= recentOrder) {
            continue;
        }
        const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(*age);
        record->orderAgeMilliseconds = static_cast<std::int32_t>(milliseconds.count());
        record->orderedMilliseconds = (m_wallNow - milliseconds).time_since_epoch().count();
        value = encode(*record);
        m_changedHostRecords.push_back(key);
    }
}

void scheduler::addHostDecision(std::string_view decision, const std::string &host, std::string inputs)
{
    m_actions.emplace_back(decision_entry{decision, {}, {}, {}, host, std::move(inputs)});
}

} // namespace parsleyglade
