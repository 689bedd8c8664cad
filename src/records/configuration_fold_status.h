#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** What a configuration fold did with one record. @see configuration_fold */
enum class configuration_fold_status : std::uint8_t {
    accepted, /**< The proposal became the current configuration. */
    refused, /**< The proposal was decoded and refused; its result has the reason. */
    started, /**< The fold took its state from the snapshot. */
    checked, /**< The snapshot agrees with the fold's state. */
    stale, /**< The snapshot was overtaken by other records before it reached the log; nobody starts from it. */
    skipped, /**< The record is corrupt, oversized or invalid. */
    ignored, /**< The offset was folded before. */
    gap, /**< Records before this one are missing; read from nextOffset(). */
};

/** The name of a step as it appears in logs. */
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
