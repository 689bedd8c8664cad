#pragma once

#include "core/identifiers.h"
#include "records/fleet_state.h"
#include "records/skip_reason.h"
#include <parsleyglade/parsleyglade_types.h>

#include <optional>

namespace parsleyglade {

/** Applies the plan of a new wave or the new plan of an open one. Returns the reason if the record was skipped; the state is then unchanged. */
std::optional<skip_reason> applyWavePlanned(fleet_state &state, const wire::fleet_record &record, log_offset offset);

/** Starts, resumes, pauses or aborts a wave. Returns the reason if the record was skipped; the state is then unchanged. */
std::optional<skip_reason> applyWaveChanged(fleet_state &state, const wire::fleet_record &record);

/** Applies the end of maintenance of one host. Returns the reason if the record was skipped; the state is then unchanged. */
std::optional<skip_reason> applyWaveHostDone(fleet_state &state, const wire::fleet_record &record);

} // namespace parsleyglade
