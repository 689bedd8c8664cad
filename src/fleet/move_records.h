#pragma once

#include "core/time_types.h"
#include "fleet/move_decision.h"
#include <parsleyglade/parsleyglade_types.h>

#include <functional>
#include <vector>

namespace parsleyglade {

/**
 * The records of a plan, to be appended in this order. A start that the fold skips makes the later starts of the plan void.
 * @param newRecordId Returns a random identifier that is not 0 at each call.
 */
std::vector<wire::fleet_record> moveRecords(const std::vector<move_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId);

} // namespace parsleyglade
