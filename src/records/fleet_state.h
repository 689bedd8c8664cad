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

/** The state that the fleet stream's records produce. Equal in every process that folded the same records. @see fleet_fold */
struct fleet_state
{
    std::int64_t lastPlannedRecord = 1; /**< Identifier of the last record that took hosts away: a move or drain started. 1 before the first. */
    std::map<std::string, entry_registration> entries; /**< By entry host. */
    std::map<std::int64_t, fleet_drain> drains; /**< By identifier. */
    std::map<std::string, host_assignment> hosts; /**< By host; hosts without any move record are absent. */
    std::map<std::string, maintenance_wave> waves; /**< By name. */
    std::deque<std::int64_t> recentRecords; /**< Identifiers of the last applied records, by which copies are recognised. */

    /** Canonical JSON; equal states give equal text. */
    std::string toJson() const;

    /** Reads toJson()'s text. Nothing on any other text; never throws. */
    static std::optional<fleet_state> fromJson(const std::string &text);

    friend bool operator==(const fleet_state &, const fleet_state &) = default;
};

} // namespace parsleyglade
