#pragma once

#include "scheduler/queue_configuration.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace parsleyglade {

/** What happens to an entry when a configuration is sent. */
enum class entry_change {
    added,
    removed,
    changed,
};

/** Names of the changes, indexed by enum value. */
constexpr std::array<std::string_view, 3> entryChangeNames{"added", "removed", "changed"};

constexpr std::string_view name(entry_change change)
{
    return entryChangeNames.at(static_cast<std::size_t>(change));
}

/** A field of an entry that has another value. */
struct field_difference
{
    std::string field;
    std::string before;
    std::string after;
};

/** An entry that differs between two configurations. */
struct entry_difference
{
    entry_change change = entry_change::changed;
    std::string kind; /**< "queue", "service" or "team". */
    std::string name;
    std::vector<field_difference> fields; /**< Of a changed entry. */
};

/** Returns how a configuration differs from the one in force: queues, then services, then teams, each by name. Keys are counted, never shown. */
std::vector<entry_difference> compareConfigurations(const queue_configuration &inForce, const queue_configuration &next);

} // namespace parsleyglade
