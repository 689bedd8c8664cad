#include "fleet/membership_reason.h"

#include <array>

namespace parsleyglade {

namespace {

struct membership_reason_row
{
    std::string_view name;
    std::string_view nextStep;
};

constexpr std::array<membership_reason_row, 11> rows{{
    {"not_registered", "this entry host appends its registration and reads it back; until then it passes requests to peers"},
    {"other_data_centre", "nothing to do; entry hosts of that data centre place work there"},
    {"unknown_pool", "publish the pool, or move the host to a published one"},
    {"moved_elsewhere", "publish the host with the data centre that it was recorded with, or under a new name"},
    {"leaving_pool", "waits for the acknowledgements of the entry hosts named, then joins its new pool"},
    {"joining_pool", "waits for the first good probe after the move"},
    {"drained", "ends with undrain, or by itself when its maintenance wave is done with the host"},
    {"listed_leaving", "waits for the platform to return the host"},
    {"says_leaving", "waits until the endpoint says serving again"},
    {"never_probed", "waits for the first good probe; check the address if it stays"},
    {"probe_too_old", "waits for the next good probe; check the host if it stays"},
}};
static_assert(rows.size() == static_cast<std::size_t>(membership_reason::probe_too_old) + 1);

} // namespace

std::string_view name(membership_reason reason)
{
    return rows.at(static_cast<std::size_t>(reason)).name;
}

std::string_view nextStep(membership_reason reason)
{
    return rows.at(static_cast<std::size_t>(reason)).nextStep;
}

} // namespace parsleyglade
