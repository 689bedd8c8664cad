#pragma once

#include "core/identifiers.h"
#include "records/fleet_state.h"
#include "records/skip_reason.h"
#include <parsleyglade/parsleyglade_types.h>

#include <optional>

namespace parsleyglade {

/** How many applied records the state remembers to recognise copies of them. */
constexpr std::size_t maximumRecentRecords = 1024;

/** Applies one record other than a snapshot to the state. Returns why it was skipped; the state is then unchanged. */
std::optional<skip_reason> applyFleetRecord(fleet_state &state, const wire::fleet_record &record, log_offset offset);

/** Whether every incarnation registered in the leaving host's data centre has acknowledged its move. */
bool isAcknowledgedByAll(const fleet_state &state, const host_assignment &host);

} // namespace parsleyglade
