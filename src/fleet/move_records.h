#pragma once

#include "core/time_types.h"
#include "fleet/move_decision.h"
#include <parsleyglade/parsleyglade_types.h>

#include <functional>
#include <vector>

namespace parsleyglade {

/**
 * Builds the log records of a plan. Append them in this order: each start expects the previous one as fleet_state::lastPlannedRecord, so
 * when the fold skips a start it also skips the later starts of the plan.
 * @param writer Incarnation of the entry host that appends the records.
 * @param now Wall-clock time that is written to the records.
 * @param newRecordId Returns a random record id other than 0 at each call.
 */
std::vector<wire::fleet_record> moveRecords(const std::vector<move_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId);

} // namespace parsleyglade
