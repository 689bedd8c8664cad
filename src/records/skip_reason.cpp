#include "records/skip_reason.h"

#include <array>

namespace parsleyglade {

namespace {

constexpr std::array<std::string_view, 18> names{
    "corrupt",
    "duplicate",
    "limit_reached",
    "stale_registration",
    "unknown_incarnation",
    "retirement_not_confirmed",
    "unknown_drain",
    "stale_plan",
    "stale_epoch",
    "wrong_pool",
    "wrong_data_centre",
    "no_move",
    "acknowledgement_missing",
    "unknown_wave",
    "stale_wave",
    "host_not_in_wave",
    "stale_snapshot",
    "snapshot_mismatch",
};
static_assert(names.size() == static_cast<std::size_t>(skip_reason::snapshot_mismatch) + 1);

} // namespace

std::string_view name(skip_reason reason)
{
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace parsleyglade
