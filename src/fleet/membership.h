#pragma once

#include "core/identifiers.h"
#include "fleet/drain_index.h"
#include "fleet/endpoint_observation.h"
#include "fleet/fleet_tables.h"
#include "fleet/host_membership.h"
#include "records/fleet_fold.h"

#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Age of the last successful probe up to which an endpoint may receive work. Part of the bound of 3 s within which a leaving endpoint
 * must stop receiving work.
 */
constexpr duration maximumProbeAge = std::chrono::seconds(2);

/** Interval between two probes of an endpoint. */
constexpr duration probeInterval = std::chrono::milliseconds(500);

/** The pool that a host belongs to: the one given by its records, or its published home pool if it has none. */
const std::string &currentPool(const fleet_state &state, const fleet_host &host);

/**
 * Decides which endpoints may receive work from one entry host, based only on what that entry host knows.
 *
 * A host is usable if all of these hold: this incarnation of the entry host is registered, the host is in the entry host's data centre,
 * its pool is published, it is neither moving nor drained, neither the platform's host list nor the endpoint reports that it is leaving,
 * and its last successful probe is at most maximumProbeAge old. A host that is missing from the host list stays usable, because the list
 * is updated with a delay and may be unavailable; the last state listed for a host applies until a newer list changes it.
 */
class membership
{
public:
    /** @param self Incarnation of the entry host that sends the work. @param dataCentre Its data centre. */
    membership(incarnation_id self, std::string dataCentre);

    /** Evaluates every published host, in the order of the tables. @param observations By host name; hosts without an entry were never probed. */
    std::vector<host_membership> evaluate(const fleet_tables &tables, const fleet_fold &fold, const std::map<std::string, endpoint_observation> &observations,
                                          time_point now) const;

    /** Evaluates one host. @param isPoolPublished Whether the host's current pool is published. */
    host_membership evaluateHost(const fleet_host &host, bool isPoolPublished, const fleet_fold &fold, const drain_index &drains,
                                 const endpoint_observation &observation, time_point now) const;

    /**
     * Whether this entry host may acknowledge the host's move: the entry host is registered, has applied the start of the move, has not
     * acknowledged it yet, and has no request in flight to the host.
     */
    bool mayAcknowledge(const fleet_host &host, const fleet_fold &fold, const endpoint_observation &observation) const;

    /**
     * Whether the move_joined record of the host's move may be appended: the fold holds every acknowledgement, and a successful probe at or
     * after drainedSince showed no running job.
     */
    static bool mayJoin(const std::string &host, const fleet_fold &fold, const endpoint_observation &observation, time_point drainedSince);

private:
    incarnation_id m_self;
    std::string m_dataCentre;
};

} // namespace parsleyglade
