#pragma once

#include "fleet/budget_row.h"
#include "fleet/drain_index.h"
#include "fleet/fleet_tables.h"
#include "fleet/host_health.h"
#include "records/fleet_state.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/**
 * Answers how many more hosts planned work may take from each service and pool.
 *
 * A pool keeps minimumHosts available. A service also keeps a reserve: the least number of hosts r for which more than r of its
 * hosts fail together with a probability of at most 1 − availabilityObjective, where each host fails independently with
 * hostUnavailability. Planned work that is taken here counts at once, so one plan cannot spend a budget twice.
 */
class availability_budget
{
public:
    /**
     * Share of time that a host is away unplanned: 6 failures of 4 h and 110 restarts of 5 min a day over 890 hosts give
     * (6 × 14400 + 110 × 300) / (890 × 86400) = 0.00155.
     */
    static constexpr double defaultHostUnavailability = 0.00155;

    availability_budget(const fleet_tables &tables, const fleet_state &state, const fleet_health &health,
                        double hostUnavailability = defaultHostUnavailability);

    /** Services in the order of their names. */
    std::vector<budget_row> services() const;

    /** The pool's row, or nullptr. */
    const budget_row *pool(const std::string &name) const;

    /** How many more hosts may leave the pool: the lesser of its own room and its service's. 0 for an unknown pool. */
    std::int64_t disruptionsAllowed(const std::string &pool) const;

    /** Takes one available host of the pool out of the budget for planned work. False, and nothing changes, when there is no room. */
    bool tryCharge(const std::string &pool);

    /** Takes a host out. A host that is not available already costs nothing. False when there is no room or the host is unknown. */
    bool tryChargeHost(const std::string &host);

    /** Whether the host is up and neither draining nor moving. */
    bool isAvailable(const std::string &host) const;

    /** The pool that the host belongs to now; empty for an unknown host. */
    std::string poolOf(const std::string &host) const;

    /** The least r with P(more than r of the hosts are away) ≤ 1 − objective. */
    static std::int64_t reserveFor(std::int64_t hosts, double objective, double hostUnavailability);

private:
    struct pool_entry
    {
        budget_row row;
        std::string service;
        double objective = 0;
    };

    struct host_entry
    {
        std::string pool;
        bool available = false;
    };

    void addPools(const fleet_tables &tables);
    void addHost(const fleet_host &host, const fleet_state &state, const fleet_health &health, const drain_index &drains);
    void addReserves(double hostUnavailability);

    std::unordered_map<std::string, pool_entry> m_pools;
    std::map<std::string, budget_row> m_services;
    std::unordered_map<std::string, host_entry> m_hosts;
};

} // namespace parsleyglade
