#pragma once

#include "scheduler/executor_state.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace parsleyglade {

/**
 * Executors that accept work, by service and by rack, in ascending order of their free processor capacity and then of their id.
 *
 * An executor whose free memory is smaller than any demand on its service counts as one without free processor capacity, so that searches do not pass
 * over it again and again.
 *
 * A change of an executor costs the logarithm of their number, and the search for the tightest fit begins at the demand, so that neither looks at
 * all executors. The owner must call update() or remove() after each change of an executor. Not thread-safe.
 */
class capacity_index
{
public:
    struct entry
    {
        std::int64_t freeMillicores = 0; /**< Zero if the memory is used up. */
        executor_state *executor = nullptr;
    };

    /** Order of the entries. An amount of capacity can be looked up without an executor. */
    struct entry_order
    {
        using is_transparent = void;

        bool operator()(const entry &left, const entry &right) const
        {
            return left.freeMillicores != right.freeMillicores ? left.freeMillicores < right.freeMillicores
                                                               : left.executor->description.id < right.executor->description.id;
        }
        bool operator()(const entry &left, std::int64_t millicores) const
        {
            return left.freeMillicores < millicores;
        }
        bool operator()(std::int64_t millicores, const entry &right) const
        {
            return millicores < right.freeMillicores;
        }
    };
    using entries = std::set<entry, entry_order>;

    capacity_index() = default;
    capacity_index(const capacity_index &) = delete;
    capacity_index &operator=(const capacity_index &) = delete;

    /** Adds the executor, or moves it to where its present service, rack and capacity belong. */
    void update(executor_state &executor);

    /** Removes the executor if it is present. */
    void remove(executor_state &executor);

    bool contains(const executor_state &executor) const;

    /** Notes that tasks of the service may need as little memory as this. Call it with the demand of a task before a search for it. */
    void noteDemand(const std::string &service, std::int64_t memoryMegabytes);

    /** Returns the executors of a service. */
    const entries &ofService(const std::string &service) const;

    /** Returns the executors of a service that are on a rack. */
    const entries &onRack(const std::string &service, const std::string &rack) const;

    /** Returns the names of the racks that have executors of the service. */
    std::vector<std::string> racksOf(const std::string &service) const;

    /** Returns the largest free processor capacity of an executor of the service, in millicores; negative if there is none. */
    std::int64_t largestFree(const std::string &service) const;

    /** Returns the processor capacity of the executors by service, in millicores, whether free or in use. Services without an executor have zero. */
    const std::map<std::string, std::int64_t> &capacities() const;

private:
    using rack_key = std::pair<std::string, std::string>; /**< Service and rack. */

    struct position
    {
        std::map<std::string, entries>::iterator service;
        std::map<rack_key, entries>::iterator rack;
        std::int64_t freeMillicores = 0;
        std::int64_t capacityMillicores = 0;
    };

    void add(executor_state &executor);
    std::int64_t usableMillicores(const executor_state &executor) const;
    static void reorder(entries &list, const entry &from, const entry &to);

    std::map<std::string, entries> m_services;
    std::map<rack_key, entries> m_racks;
    std::map<std::string, std::int64_t> m_capacities; /**< By service. */
    std::map<std::string, std::int64_t> m_smallestMemory; /**< Smallest demand for memory by service, in megabytes. */
    std::unordered_map<const executor_state *, position> m_positions;
};

} // namespace parsleyglade
