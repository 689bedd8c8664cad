#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Why a host takes no work. @see membership */
enum class membership_reason : std::uint8_t {
    not_registered, /**< This entry host's own registration is not in its fold. */
    other_data_centre, /**< Entry hosts of the host's own data centre place work there. */
    unknown_pool, /**< Its pool is not published. */
    moved_elsewhere, /**< The published data centre is not the one that its move was recorded with. */
    leaving_pool, /**< A move to another pool is in progress. */
    joining_pool, /**< No good probe since it joined its pool. */
    drained, /**< A drain covers it. */
    listed_leaving, /**< The platform's host list calls it leaving. */
    says_leaving, /**< The endpoint itself says that it is leaving. */
    never_probed, /**< No good probe yet. */
    probe_too_old, /**< The last good probe is over the limit of age. */
};

/** The reason's name as it appears on status pages. */
std::string_view name(membership_reason reason);

/** What happens next, or what an operator does, in one line. */
std::string_view nextStep(membership_reason reason);

} // namespace parsleyglade
