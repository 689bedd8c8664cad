#pragma once

#include "core/identifiers.h"
#include "records/fleet_state.h"
#include "records/skip_reason.h"
#include <parsleyglade/parsleyglade_types.h>

#include <optional>

namespace parsleyglade {

/** Applies a plan, or the new plan of an open wave. Returns why it was skipped; the state is then unchanged. */
std::optional<skip_reason> applyWavePlanned(fleet_state &state, const wire::fleet_record &record, log_offset offset);

/** Applies a start, a resumption, a pause or an abort. Returns why it was skipped. */
std::optional<skip_reason> applyWaveChanged(fleet_state &state, const wire::fleet_record &record);

/** Applies the end of maintenance of one host. Returns why it was skipped. */
std::optional<skip_reason> applyWaveHostDone(fleet_state &state, const wire::fleet_record &record);

} // namespace parsleyglade
