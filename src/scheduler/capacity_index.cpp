#include "scheduler/capacity_index.h"

namespace parsleyglade {

namespace {

const capacity_index::entries noEntries;

} // namespace

void capacity_index::update(executor_state &executor)
{
    const auto found = m_positions.find(&executor);
    if (found == m_positions.end()) {
        add(executor);
        return;
    }
    position &current = found->second;
    const bool hasMoved = current.service->first != executor.description.service || current.rack->first.second != executor.description.rack
        || current.capacityMillicores != executor.description.capacity.cpuMillicores;
    if (hasMoved) {
        remove(executor);
        add(executor);
        return;
    }
    const std::int64_t freeMillicores = usableMillicores(executor);
    if (freeMillicores == current.freeMillicores) {
        return;
    }
    const entry from{current.freeMillicores, &executor};
    const entry to{freeMillicores, &executor};
    reorder(current.service->second, from, to);
    reorder(current.rack->second, from, to);
    current.freeMillicores = freeMillicores;
}

void capacity_index::remove(executor_state &executor)
{
    const auto found = m_positions.find(&executor);
    if (found == m_positions.end()) {
        return;
    }
    const position &current = found->second;
    m_capacities[current.service->first] -= current.capacityMillicores;
    const entry present{current.freeMillicores, &executor};
    current.service->second.erase(present);
    current.rack->second.erase(present);
    if (current.rack->second.empty()) {
        m_racks.erase(current.rack);
    }
    m_positions.erase(found);
}

bool capacity_index::contains(const executor_state &executor) const
{
    return m_positions.contains(&executor);
}

void capacity_index::noteDemand(const std::string &service, std::int64_t memoryMegabytes)
{
    const auto [smallest, isFirst] = m_smallestMemory.try_emplace(service, memoryMegabytes);
    if (isFirst || memoryMegabytes >= smallest->second) {
        return;
    }
    smallest->second = memoryMegabytes;
    std::vector<executor_state *> executors;
    for (const entry &each : ofService(service)) {
        executors.push_back(each.executor);
    }
    for (executor_state *executor : executors) {
        update(*executor);
    }
}

std::int64_t capacity_index::usableMillicores(const executor_state &executor) const
{
    const resources available = executor.availableCapacity();
    const auto smallest = m_smallestMemory.find(executor.description.service);
    const bool isMemoryUsedUp = smallest != m_smallestMemory.end() && available.memoryMegabytes < smallest->second;
    return isMemoryUsedUp ? 0 : available.cpuMillicores;
}

const capacity_index::entries &capacity_index::ofService(const std::string &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? noEntries : found->second;
}

const capacity_index::entries &capacity_index::onRack(const std::string &service, const std::string &rack) const
{
    const auto found = m_racks.find({service, rack});
    return found == m_racks.end() ? noEntries : found->second;
}

std::vector<std::string> capacity_index::racksOf(const std::string &service) const
{
    std::vector<std::string> racks;
    for (auto rack = m_racks.lower_bound({service, {}}); rack != m_racks.end() && rack->first.first == service; ++rack) {
        racks.push_back(rack->first.second);
    }
    return racks;
}

std::int64_t capacity_index::largestFree(const std::string &service) const
{
    const entries &executors = ofService(service);
    return executors.empty() ? -1 : executors.rbegin()->freeMillicores;
}

const std::map<std::string, std::int64_t> &capacity_index::capacities() const
{
    return m_capacities;
}

void capacity_index::add(executor_state &executor)
{
    position added;
    added.service = m_services.try_emplace(executor.description.service).first;
    added.rack = m_racks.try_emplace({executor.description.service, executor.description.rack}).first;
    added.freeMillicores = usableMillicores(executor);
    added.capacityMillicores = executor.description.capacity.cpuMillicores;
    m_capacities[executor.description.service] += added.capacityMillicores;
    const entry present{added.freeMillicores, &executor};
    added.service->second.insert(present);
    added.rack->second.insert(present);
    m_positions.emplace(&executor, added);
}

void capacity_index::reorder(entries &list, const entry &from, const entry &to)
{
    auto node = list.extract(from);
    node.value() = to;
    list.insert(std::move(node));
}

} // namespace parsleyglade
