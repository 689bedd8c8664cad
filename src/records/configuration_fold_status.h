#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Result of applying one record to a configuration_fold. */
enum class configuration_fold_status : std::uint8_t {
    accepted, /**< The proposal became the current configuration. */
    refused, /**< The proposal was refused; its result contains the failures. @see configuration_fold::resultOf */
    started, /**< The fold replaced its state by that of the snapshot. */
    checked, /**< The snapshot matches the fold's state. */
    stale, /**< The snapshot does not match, usually because other records were appended before it; no fold starts from it. */
    skipped, /**< The record is corrupt, oversized or invalid. */
    ignored, /**< The offset has already been folded. */
    gap, /**< Records before this one are missing, so it was not applied; continue reading at nextOffset(). */
};

/** Returns the name of a status as it appears in logs. */
constexpr std::string_view name(configuration_fold_status status)
{
    switch (status) {
    case configuration_fold_status::accepted:
        return "accepted";
    case configuration_fold_status::refused:
        return "refused";
    case configuration_fold_status::started:
        return "started";
    case configuration_fold_status::checked:
        return "checked";
    case configuration_fold_status::stale:
        return "stale";
    case configuration_fold_status::skipped:
        return "skipped";
    case configuration_fold_status::ignored:
        return "ignored";
    case configuration_fold_status::gap:
        return "gap";
    }
    return "skipped";
}

} // namespace parsleyglade
