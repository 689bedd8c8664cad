#include "scheduler/late_start_records.h"

#include "scheduler/decision_entry.h"

#include <algorithm>
#include <utility>

namespace parsleyglade {

namespace {

constexpr char keyPrefix = 's';

std::string keyOf(const run_key &run)
{
    return keyPrefix + toText(run.task) + ':' + std::to_string(run.run);
}

wire::late_start_record encodeOrder(const restored_late_start &order, time_point now)
{
    wire::late_start_record record;
    record.executor = order.executor;
    record.boot = order.boot;
    record.job = order.run.task.job;
    record.occurrence = order.run.task.occurrence;
    record.step = order.run.task.step;
    record.index = order.run.task.index;
    record.run = order.run.run;
    record.leftMilliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(std::max(order.until - now, duration::zero())).count();
    return record;
}

} // namespace

bool late_start_records::isKey(const std::string &key)
{
    return key.size() > 1 && key.front() == keyPrefix;
}

bool late_start_records::restore(const std::string &key, const std::string &value)
{
    m_restored.erase(key);
    if (value.empty()) {
        return true;
    }
    const auto record = decode<wire::late_start_record>(value);
    if (!record) {
        return false;
    }
    m_restored[key] = *record;
    return true;
}

std::vector<restored_late_start> late_start_records::takeRestored(time_point now)
{
    std::vector<restored_late_start> orders;
    for (const auto &[key, record] : std::exchange(m_restored, {})) {
        const task_id task{record.job, record.occurrence, record.step, record.index};
        restored_late_start order{record.executor, record.boot, {task, record.run}, now + std::chrono::milliseconds{record.leftMilliseconds}};
        m_orders[key] = order;
        orders.push_back(std::move(order));
    }
    return orders;
}

void late_start_records::add(const restored_late_start &order)
{
    const std::string key = keyOf(order.run);
    m_orders[key] = order;
    m_changed.insert(key);
}

void late_start_records::remove(const run_key &run)
{
    const std::string key = keyOf(run);
    if (m_orders.erase(key) > 0) {
        m_changed.insert(key);
    }
}

void late_start_records::removeExpired(time_point now)
{
    std::erase_if(m_orders, [&](const auto &entry) {
        const bool isExpired = now > entry.second.until;
        if (isExpired) {
            m_changed.insert(entry.first);
        }
        return isExpired;
    });
}

void late_start_records::refresh()
{
    for (const auto &[key, order] : m_orders) {
        m_changed.insert(key);
    }
}

bool late_start_records::hasChanged() const
{
    return !m_changed.empty();
}

void late_start_records::addTo(journal_batch &batch, time_point now)
{
    for (const std::string &key : std::exchange(m_changed, {})) {
        const auto order = m_orders.find(key);
        batch.entries.push_back({key, order == m_orders.end() ? std::string() : encode(encodeOrder(order->second, now))});
    }
}

} // namespace parsleyglade
