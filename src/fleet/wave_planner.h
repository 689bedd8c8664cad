#pragma once

#include "fleet/availability_budget.h"
#include "fleet/fleet_tables.h"
#include "fleet/host_health.h"
#include "fleet/wave_plan.h"
#include "fleet/wave_settings.h"
#include "records/fleet_state.h"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace parsleyglade {

/**
 * Plans maintenance cycles.
 *
 * A batch lies in one data centre, so that never two lose hosts to one wave, goes rack by rack, and takes from each pool and service
 * at most what its budget leaves beside the hosts that are down, suspect, draining or moving. The plan is an order; the budget is
 * asked again before each host is drained. @see wave_runner
 */
class wave_planner
{
public:
    explicit wave_planner(wave_settings settings);

    /** Plans every selected host once. isSelected picks by pool, rack or data centre. */
    wave_plan planCycle(const fleet_tables &tables, const fleet_state &state, const fleet_health &health,
                        const std::function<bool(const fleet_host &)> &isSelected) const;

    /**
     * A new plan for an open wave if the fleet has changed: hosts of the plan are no longer published, or a rack has failed.
     * The hosts of a failed rack come first, because they are out already. Nothing when the plan still fits.
     */
    std::optional<wave_plan> replan(const maintenance_wave &wave, const std::string &name, const fleet_tables &tables, const fleet_state &state,
                                    const fleet_health &health) const;

    /** Racks of which at least two hosts, and failedRackShare of those without a drain of their own, are down without such a drain. */
    std::set<std::string> failedRacks(const fleet_tables &tables, const fleet_state &state, const fleet_health &health) const;

private:
    std::vector<std::vector<std::string>> planBatches(std::vector<const fleet_host *> hosts, const availability_budget &budget,
                                                      std::vector<std::string> &blocked) const;

    wave_settings m_settings;
};

/** The author of a wave's own drains. */
std::string waveAuthor(const std::string &wave);

} // namespace parsleyglade
