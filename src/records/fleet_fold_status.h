#pragma once

#include <cstdint>

namespace parsleyglade {

/** Result of applying one record to a fleet_fold. */
enum class fleet_fold_status : std::uint8_t {
    applied, /**< The record took effect. */
    skipped, /**< The record was read and has no effect. Folds that do not await a snapshot all skip the same records. */
    ignored, /**< The offset has already been folded. */
    gap, /**< Records before this one are missing; the caller must apply them first. */
};

} // namespace parsleyglade
