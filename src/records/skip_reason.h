#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Why the fleet fold did not apply a record. The same record gets the same reason in every process. @see fleet_fold */
enum class skip_reason : std::uint8_t {
    corrupt, /**< The bytes don't decode, or a field is missing, too long or not valid text. */
    duplicate, /**< A copy of a record that was applied before. */
    limit_reached, /**< The state already holds as many items of this kind as it may. */
    stale_registration, /**< Another incarnation of the entry host registered first. */
    unknown_incarnation, /**< The incarnation is not registered, or was retired. */
    retirement_not_confirmed, /**< Neither the incarnation itself nor an operator wrote the retirement. */
    unknown_drain, /**< No drain has this identifier. */
    stale_plan, /**< Other planned work was recorded after the state that the record is based on. */
    stale_epoch, /**< The host's move epoch is not the one that the record is based on. */
    wrong_pool, /**< The host does not serve the pool that the move takes it from. */
    wrong_data_centre, /**< The acknowledging incarnation is registered in another data centre. */
    no_move, /**< The host has no move in progress. */
    acknowledgement_missing, /**< A registered entry host has not yet acknowledged the move. */
    unknown_wave, /**< No wave has this name. */
    stale_wave, /**< The wave's version or state is not the one that the record is based on. */
    host_not_in_wave, /**< The wave's plan does not name the host. */
    stale_snapshot, /**< Records lie between the snapshot's position and the snapshot itself. */
    snapshot_mismatch, /**< The snapshot's digest is not that of the state. */
};

/** The reason's name as it appears in status pages and logs. */
std::string_view name(skip_reason reason);

} // namespace parsleyglade
