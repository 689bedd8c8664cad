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
 * Limits how many hosts planned work (moves and maintenance) may make unavailable at the same time, per pool and per service.
 *
 * A pool keeps at least fleet_pool::minimumHosts available. A service additionally keeps a reserve for unplanned failures: the smallest
 * number r such that the probability of more than r of its hosts failing at the same time is at most 1 − availabilityObjective, if hosts
 * fail independently with probability hostUnavailability. A service uses the highest objective of its pools.
 *
 * The budget is a snapshot: it is computed once, from the arguments of the constructor, and each host charged to it is deducted
 * immediately, so that one plan cannot use the same allowance twice. Copies are independent. Not thread-safe.
 */
class availability_budget
{
public:
    /**
     * Fraction of time for which a host is unavailable without being planned: 6 failures of 4 h and 110 restarts of 5 min a day over
     * 890 hosts give (6 × 14400 + 110 × 300) / (890 × 86400) = 0.00155.
     */
    static constexpr double defaultHostUnavailability = 0.00155;

    /**
     * Counts the hosts of every published pool; hosts whose current pool is not published are ignored.
     * @param health Hosts without an entry count as down.
     * @param hostUnavailability Probability that a host is unavailable; at least 0, below 1.
     */
    availability_budget(const fleet_tables &tables, const fleet_state &state, const fleet_health &health,
                        double hostUnavailability = defaultHostUnavailability);

    /** The host counts of every service, sorted by name. */
    std::vector<budget_row> services() const;

    /** The host counts of a pool, or nullptr for an unknown pool. Valid until the budget is destroyed. */
    const budget_row *pool(const std::string &name) const;

    /**
     * Number of further hosts of the pool that may become unavailable: the smaller of the allowances of the pool and of its service.
     * Negative if too many are unavailable already; 0 for an unknown pool.
     */
    std::int64_t disruptionsAllowed(const std::string &pool) const;

    /** Charges one available host of the pool to the budget. Returns false and changes nothing if no disruption is allowed. */
    bool tryCharge(const std::string &pool);

    /**
     * Charges the given host to the budget. A host that is already unavailable, or was charged before, costs nothing.
     * Returns false and changes nothing if no disruption is allowed or the host is unknown.
     */
    bool tryChargeHost(const std::string &host);

    /** Whether the host is healthy, neither draining nor moving, and not charged to this budget. */
    bool isAvailable(const std::string &host) const;

    /** The pool that the host currently belongs to; empty for an unknown host. */
    std::string poolOf(const std::string &host) const;

    /** The smallest r with P(more than r of the hosts are unavailable) ≤ 1 − objective; at most hosts. */
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
