#pragma once

#include "core/identifiers.h"
#include "records/fleet_state.h"
#include "records/skip_reason.h"
#include <parsleyglade/parsleyglade_types.h>

#include <optional>

namespace parsleyglade {

/** Number of applied records whose identifiers the state retains to detect duplicates. */
constexpr std::size_t maximumRecentRecords = 1024;

/** Applies one record other than a snapshot to the state. Returns the reason if the record was skipped; the state is then unchanged. */
std::optional<skip_reason> applyFleetRecord(fleet_state &state, const wire::fleet_record &record, log_offset offset);

/** Whether every incarnation that is registered in the leaving host's data centre, and not retired, has acknowledged the move. */
bool isAcknowledgedByAll(const fleet_state &state, const host_assignment &host);

} // namespace parsleyglade
