#pragma once

#include "fleet/fleet_tables.h"
#include "records/fleet_state.h"

#include <set>
#include <string>

namespace parsleyglade {

/** Index of the active drains by host, rack and data centre. A snapshot of the state passed to the constructor. */
class drain_index
{
public:
    explicit drain_index(const fleet_state &state)
    {
        for (const auto &[id, drain] : state.drains) {
            auto &names = drain.scope == drain_scope::host ? m_hosts : drain.scope == drain_scope::rack ? m_racks : m_dataCentres;
            names.insert(drain.subject);
        }
    }

    /** Whether a drain of the host itself, its rack or its data centre is active. */
    bool covers(const fleet_host &host) const
    {
        return m_hosts.contains(host.name) || m_racks.contains(host.rack) || m_dataCentres.contains(host.dataCentre);
    }

private:
    std::set<std::string> m_hosts;
    std::set<std::string> m_racks;
    std::set<std::string> m_dataCentres;
};

} // namespace parsleyglade
