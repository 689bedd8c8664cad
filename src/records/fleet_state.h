#pragma once

#include "records/entry_registration.h"
#include "records/fleet_drain.h"
#include "records/host_assignment.h"
#include "records/maintenance_wave.h"

#include <deque>
#include <map>
#include <optional>
#include <string>

namespace parsleyglade {

/** State that results from the records of the fleet stream. Equal in all processes that folded the same records. @see fleet_fold */
struct fleet_state
{
    std::int64_t lastPlannedRecord = 1; /**< Identifier of the last record that removed hosts from service (start of a move or drain); 1 if none. */
    std::map<std::string, entry_registration> entryHosts; /**< By name of the entry host. */
    std::map<std::int64_t, fleet_drain> drains; /**< By identifier. */
    std::map<std::string, host_assignment> hosts; /**< By name; hosts without any move record are absent. */
    std::map<std::string, maintenance_wave> waves; /**< By name. */
    std::deque<std::int64_t> recentRecords; /**< Identifiers of the most recently applied records, to detect duplicates. */

    /** Returns the canonical JSON; equal states have equal text. */
    std::string toJson() const;

    /** Parses the text of toJson(). Returns nothing for any other text; never throws. */
    static std::optional<fleet_state> fromJson(const std::string &text);

    friend bool operator==(const fleet_state &, const fleet_state &) = default;
};

} // namespace parsleyglade
