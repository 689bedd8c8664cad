#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** What a drain covers. */
enum class drain_scope : std::uint8_t {
    host,
    rack,
    data_centre,
};

/** A drain in force. Hosts that it covers take no new work. */
struct fleet_drain
{
    std::int64_t id = 0; /**< Identifier of the record that started it. */
    drain_scope scope = drain_scope::host;
    std::string subject; /**< Name of the host, rack or data centre. */
    std::string author; /**< Operator, or "wave:" and the wave's name. */
    std::int64_t wallMilliseconds = 0;

    /** Whether the drain covers a host at the given place. */
    bool covers(const std::string &host, const std::string &rack, const std::string &dataCentre) const
    {
        const std::string &covered = scope == drain_scope::host ? host : scope == drain_scope::rack ? rack : dataCentre;
        return subject == covered;
    }

    friend bool operator==(const fleet_drain &, const fleet_drain &) = default;
};

} // namespace parsleyglade
