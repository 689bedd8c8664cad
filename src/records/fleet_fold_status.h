#pragma once

#include <cstdint>

namespace parsleyglade {

/** What became of a record that was handed to a fold. */
enum class fleet_fold_status : std::uint8_t {
    applied, /**< It changed the state. */
    skipped, /**< It was read and has no effect; every process skips it alike. */
    ignored, /**< Its offset is at or below the last one. */
    gap, /**< Records before it are missing; the caller reads them first. */
};

} // namespace parsleyglade
