#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Why a host may not receive work. @see membership */
enum class membership_reason : std::uint8_t {
    not_registered, /**< The registration of this entry host's incarnation is not in its fold. */
    other_data_centre, /**< The host is in another data centre, whose own entry hosts send it work. */
    unknown_pool, /**< The host's pool is not published. */
    moved_elsewhere, /**< The host is published with another data centre than the one recorded for its move. */
    leaving_pool, /**< A move to another pool is in progress. */
    joining_pool, /**< No probe has succeeded since the host joined its pool. */
    drained, /**< The host, its rack or its data centre is drained. */
    listed_leaving, /**< The platform's host list shows the host as leaving. */
    says_leaving, /**< The endpoint itself reports that it is leaving. */
    never_probed, /**< No probe has succeeded yet. */
    probe_too_old, /**< The last successful probe is older than maximumProbeAge. */
};

/** The reason's name as written to the status document. */
std::string_view name(membership_reason reason);

/** One line for operators: what the host is waiting for, or what the operator has to do. */
std::string_view nextStep(membership_reason reason);

} // namespace parsleyglade
