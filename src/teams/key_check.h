#pragma once

#include "core/time_types.h"

#include <array>
#include <optional>
#include <string_view>

namespace parsleyglade {

/** What an entry host does with a request for a queue that needs a key. */
enum class key_verdict {
    accepted, /**< The configuration in force has the key. */
    rejected, /**< The newest configuration does not have the key, or the request has none. */
    outdated, /**< The key is not known, but the leader has a newer configuration, which may have it. */
    unverified, /**< The key is not known, but the configuration in force is not known to be the newest. */
    revocation_unknown, /**< The key is known, but the strict limit for learning of withdrawn keys has passed. */
};

/** Names of the verdicts in the log, indexed by enum value. */
constexpr std::array<std::string_view, 5> keyVerdictNames{"accepted", "rejected", "outdated", "unverified", "revocation-unknown"};

constexpr std::string_view name(key_verdict verdict)
{
    return keyVerdictNames.at(static_cast<std::size_t>(verdict));
}

/** What an entry host knows about its own configuration when it checks a key. */
struct key_check_state
{
    bool isLeaderNewer = false; /**< The leader is known to have a newer configuration. */
    duration configurationAge{}; /**< Time since the configuration in force was last known to be the newest. */
    duration configurationBound{}; /**< Time within which every entry host has a published configuration. */
    std::optional<duration> revocationBound; /**< Time within which a withdrawn key must be out of use everywhere, whatever fails. Not set unless strict. */
};

/** Decides about a key. @param isKnown whether the configuration in force has it
    A known key is accepted while a newer configuration is on its way: the leader checks the call again with the configuration that it has. */
key_verdict checkKey(bool isKnown, const key_check_state &state);

} // namespace parsleyglade
