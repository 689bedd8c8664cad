#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Why the fleet fold skipped a record. A record is skipped for the same reason in every process. @see fleet_fold */
enum class skip_reason : std::uint8_t {
    corrupt, /**< The bytes cannot be decoded, or a field is missing, too long or not valid text. */
    duplicate, /**< A copy of the record has already been applied. */
    limit_reached, /**< The state already contains the maximum number of items of this kind. */
    stale_registration, /**< Another incarnation of the entry host registered first. */
    unknown_incarnation, /**< The incarnation is not registered or has been retired. */
    retirement_not_confirmed, /**< The retirement was written neither by the incarnation itself nor by an operator. */
    unknown_drain, /**< No drain has this identifier. */
    stale_plan, /**< Other planned work was recorded after the state on which the record is based. */
    stale_epoch, /**< The host's move epoch is not the one stated in the record, or the host is already moving or assigned. */
    wrong_pool, /**< The host does not belong to the pool that the record states as the origin of the move. */
    wrong_data_centre, /**< The acknowledging incarnation is registered in another data centre. */
    no_move, /**< The host has no move in progress. */
    acknowledgement_missing, /**< A registered entry host has not yet acknowledged the move. */
    unknown_wave, /**< No wave has this name. */
    stale_wave, /**< The wave's version is not the one stated in the record, or its state does not permit the change. */
    host_not_in_wave, /**< The wave's plan does not contain the host. */
    stale_snapshot, /**< Other records were appended between the offset stated in the snapshot and the snapshot itself. */
    snapshot_mismatch, /**< The snapshot's digest does not match the state. */
};

/** Returns the name of the reason as it appears in status pages and logs. */
std::string_view name(skip_reason reason);

} // namespace parsleyglade
