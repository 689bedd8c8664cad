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

/** The oldest good probe with which an endpoint still takes work. Part of the bound of 3 s on leaving endpoints. */
constexpr duration maximumProbeAge = std::chrono::seconds(2);

/** Interval between probes of an endpoint. */
constexpr duration probeInterval = std::chrono::milliseconds(500);

/** The pool that a host belongs to: the one its records give, or the published one when it has no record. */
const std::string &currentPool(const fleet_state &state, const fleet_host &host);

/**
 * Decides which endpoints may take work from one entry host, from its own view alone.
 *
 * A host is usable when all hold: this incarnation is registered, the host is in this data centre, its pool is published, no move
 * or drain is in progress, neither the host list nor the endpoint says leaving, and the last good probe is at most
 * maximumProbeAge old. A host that is missing from the host list stays usable, because the list lags and can be down; what an old
 * list said of a host holds until a newer list says otherwise.
 */
class membership
{
public:
    /** Names the entry host that decides. */
    membership(incarnation_id self, std::string dataCentre);

    /** Every published host in the order of the tables. observations is by host; absent hosts were never seen. */
    std::vector<host_membership> evaluate(const fleet_tables &tables, const fleet_fold &fold, const std::map<std::string, endpoint_observation> &observations,
                                          time_point now) const;

    /** One host. knownPool says whether the host's pool is published. */
    host_membership evaluateHost(const fleet_host &host, bool knownPool, const fleet_fold &fold, const drain_index &drains,
                                 const endpoint_observation &observation, time_point now) const;

    /** Whether this entry host may acknowledge the host's move: it is registered, has folded the start, and has nothing in flight. */
    bool mayAcknowledge(const fleet_host &host, const fleet_fold &fold, const endpoint_observation &observation) const;

    /** Whether move_joined may be written: every acknowledgement is in the fold, and the endpoint's probe after them shows no job. */
    static bool mayJoin(const std::string &host, const fleet_fold &fold, const endpoint_observation &observation, time_point drainedSince);

private:
    incarnation_id m_self;
    std::string m_dataCentre;
};

} // namespace parsleyglade
