#pragma once

#include <cstdint>
#include <string>

namespace parsleyglade {

/** Kind of object that a drain covers. */
enum class drain_scope : std::uint8_t {
    host,
    rack,
    data_centre,
};

/** An active drain. The hosts that it covers receive no new work. */
struct fleet_drain
{
    std::int64_t id = 0; /**< Identifier of the record that started the drain. */
    drain_scope scope = drain_scope::host;
    std::string subject; /**< Name of the host, rack or data centre. */
    std::string author; /**< Name of the operator, or "wave:" followed by the name of the wave. */
    std::int64_t wallMilliseconds = 0; /**< Wall time of that record, in milliseconds since the Unix epoch. */

    /** Whether the drain covers a host in the given rack and data centre. */
    bool covers(const std::string &host, const std::string &rack, const std::string &dataCentre) const
    {
        const std::string &covered = scope == drain_scope::host ? host : scope == drain_scope::rack ? rack : dataCentre;
        return subject == covered;
    }

    friend bool operator==(const fleet_drain &, const fleet_drain &) = default;
};

} // namespace parsleyglade
