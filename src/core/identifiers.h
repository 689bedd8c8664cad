#pragma once

#include <cstdint>

namespace parsleyglade {

/** One life of an entry host's process; random, so a restarted process never equals its predecessor. */
enum class incarnation_id : std::int64_t {
};

/** One attempt to claim a key; random. */
enum class attempt_id : std::int64_t {
};

/** Hash of a caller's name. @see callerId */
enum class caller_id : std::int64_t {
};

/** Position of a record in a stream of the log. */
using log_offset = std::uint64_t;

/** Number of an accepted configuration; 0 means none yet. */
using revision_number = std::uint64_t;

} // namespace parsleyglade
