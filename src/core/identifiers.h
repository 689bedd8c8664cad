#pragma once

#include <cstdint>

namespace parsleyglade {

/** Identifies one run of an entry host's process. Random, so that a restarted process never has the identifier of its predecessor. */
enum class incarnation_id : std::int64_t {
};

/** Identifies one attempt to claim a key. Random. */
enum class attempt_id : std::int64_t {
};

/** Identifies a caller by a hash of its name. @see caller_settings::id */
enum class caller_id : std::int64_t {
};

/** Offset of a record in a stream of the log. */
using log_offset = std::uint64_t;

/** Number of an accepted configuration; 0 means none yet. */
using revision_number = std::uint64_t;

} // namespace parsleyglade
