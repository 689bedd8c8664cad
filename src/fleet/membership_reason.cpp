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
    {"not_registered", "waits until this entry host has read its own registration from the log; until then it forwards requests to other entry hosts"},
    {"other_data_centre", "no action needed; the entry hosts of that data centre send work to the host"},
    {"unknown_pool", "publish the pool, or move the host to a published pool"},
    {"moved_elsewhere", "publish the host with its recorded data centre, or under a new name"},
    {"leaving_pool", "waits for the acknowledgements of the listed entry hosts, then joins its new pool"},
    {"joining_pool", "waits for the first successful probe after the move"},
    {"drained", "end the drain with undrain; a drain of a maintenance wave ends when the wave is done with the host"},
    {"listed_leaving", "waits until the platform lists the host as live again"},
    {"says_leaving", "waits until the endpoint reports that it is serving again"},
    {"never_probed", "waits for the first successful probe; if none succeeds, check the address"},
    {"probe_too_old", "waits for the next successful probe; if none succeeds, check the host"},
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
