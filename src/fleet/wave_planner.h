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
 * Plans the batches of maintenance waves.
 *
 * All hosts of a batch are in one data centre, so that a wave never takes hosts from two data centres at the same time. A batch is
 * filled rack by rack, with at most as many hosts of each pool and service as the budget allows beyond those that are down, suspect,
 * draining or moving. A plan only fixes the order; the budget is checked again before each host is drained. @see wave_runner
 */
class wave_planner
{
public:
    explicit wave_planner(wave_settings settings);

    /** Plans every host for which isSelected returns true, each once. */
    wave_plan planCycle(const fleet_tables &tables, const fleet_state &state, const fleet_health &health,
                        const std::function<bool(const fleet_host &)> &isSelected) const;

    /**
     * Returns a new plan for an open wave if hosts of its plan are no longer published or one of its racks has failed; otherwise nullopt.
     * The hosts of a failed rack form the first batch, because they are out of service anyway, with the hosts that the wave has drained.
     */
    std::optional<wave_plan> replan(const maintenance_wave &wave, const std::string &name, const fleet_tables &tables, const fleet_state &state,
                                    const fleet_health &health) const;

    /**
     * Racks that count as failed: among their hosts that are not drained individually, at least two and at least
     * wave_settings::failedRackShare are down.
     */
    std::set<std::string> failedRacks(const fleet_tables &tables, const fleet_state &state, const fleet_health &health) const;

private:
    std::vector<std::vector<std::string>> planBatches(std::vector<const fleet_host *> hosts, const availability_budget &budget,
                                                      std::vector<std::string> &blocked) const;

    wave_settings m_settings;
};

/** The author with which the drains of a wave are recorded; it distinguishes them from drains by operators and other waves. */
std::string waveAuthor(const std::string &wave);

} // namespace parsleyglade
