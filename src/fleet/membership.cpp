#include "fleet/membership.h"

#include <set>

namespace parsleyglade {

const std::string &currentPool(const fleet_state &state, const fleet_host &host)
{
    const auto found = state.hosts.find(host.name);
    return found == state.hosts.end() || found->second.pool.empty() ? host.pool : found->second.pool;
}

membership::membership(incarnation_id self, std::string dataCentre)
    : m_self(self)
    , m_dataCentre(std::move(dataCentre))
{
}

std::vector<host_membership> membership::evaluate(const fleet_tables &tables, const fleet_fold &fold,
                                                  const std::map<std::string, endpoint_observation> &observations, time_point now) const
{
    std::set<std::string> pools;
    for (const fleet_pool &pool : tables.pools) {
        pools.insert(pool.name);
    }

    const drain_index drains(fold.state());
    std::vector<host_membership> hosts;
    hosts.reserve(tables.hosts.size());
    for (const fleet_host &host : tables.hosts) {
        const auto observation = observations.find(host.name);
        const bool isPoolPublished = pools.contains(currentPool(fold.state(), host));
        hosts.push_back(
            evaluateHost(host, isPoolPublished, fold, drains, observation == observations.end() ? endpoint_observation{} : observation->second, now));
    }
    return hosts;
}

host_membership membership::evaluateHost(const fleet_host &host, bool isPoolPublished, const fleet_fold &fold, const drain_index &drains,
                                         const endpoint_observation &observation, time_point now) const
{
    host_membership result{host.name, currentPool(fold.state(), host), {}, move_stage::serving, {}, {}};
    const auto addReasonIf = [&result](bool applies, membership_reason reason) {
        if (applies) {
            result.reasons.push_back(reason);
        }
    };

    const auto assigned = fold.state().hosts.find(host.name);
    const bool assignedLeaving = assigned != fold.state().hosts.end() && assigned->second.isLeaving();
    if (assigned != fold.state().hosts.end()) {
        addReasonIf(assigned->second.dataCentre != host.dataCentre, membership_reason::moved_elsewhere);
        if (assignedLeaving) {
            result.toPool = assigned->second.toPool;
            result.missingAcknowledgements = fold.missingAcknowledgements(host.name);
            result.stage = result.missingAcknowledgements.empty() ? move_stage::drained : move_stage::leaving;
            result.reasons.push_back(membership_reason::leaving_pool);
        }
    }

    const bool joining
        = !assignedLeaving && observation.poolChangedAt && (!observation.lastSuccessfulProbe || *observation.lastSuccessfulProbe < *observation.poolChangedAt);
    if (joining) {
        result.stage = move_stage::joining;
        result.reasons.push_back(membership_reason::joining_pool);
    }

    addReasonIf(drains.covers(host), membership_reason::drained);
    addReasonIf(observation.reportsLeaving, membership_reason::says_leaving);
    addReasonIf(observation.listed == listed_state::leaving, membership_reason::listed_leaving);
    addReasonIf(!observation.lastSuccessfulProbe, membership_reason::never_probed);
    addReasonIf(observation.lastSuccessfulProbe && now - *observation.lastSuccessfulProbe > maximumProbeAge, membership_reason::probe_too_old);
    addReasonIf(!isPoolPublished, membership_reason::unknown_pool);
    addReasonIf(host.dataCentre != m_dataCentre, membership_reason::other_data_centre);
    addReasonIf(!fold.isRegistered(m_self), membership_reason::not_registered);

    return result;
}

bool membership::mayAcknowledge(const fleet_host &host, const fleet_fold &fold, const endpoint_observation &observation) const
{
    const auto assigned = fold.state().hosts.find(host.name);
    return assigned != fold.state().hosts.end() && assigned->second.isLeaving() && assigned->second.dataCentre == m_dataCentre && fold.isRegistered(m_self)
        && !assigned->second.acknowledged.contains(static_cast<std::int64_t>(m_self)) && observation.inFlight == 0;
}

bool membership::mayJoin(const std::string &host, const fleet_fold &fold, const endpoint_observation &observation, time_point drainedSince)
{
    return fold.isDrained(host) && observation.running == 0 && observation.lastSuccessfulProbe && *observation.lastSuccessfulProbe >= drainedSince;
}

} // namespace parsleyglade
