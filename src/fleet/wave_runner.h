#pragma once

#include "fleet/availability_budget.h"
#include "fleet/host_progress.h"
#include "fleet/wave_decision.h"
#include "fleet/wave_planner.h"
#include "fleet/wave_settings.h"
#include <parsleyglade/parsleyglade_types.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

namespace parsleyglade {

/** What a wave step is decided on. */
struct wave_context
{
    const fleet_tables &tables;
    const fleet_state &state;
    const fleet_health &health;
    const wave_progress &progress;
    double burnRate = 0; /**< The worst burn rate of any service; 1 uses up the objective's budget exactly. */
    wall_time now{};
};

/**
 * Runs a maintenance wave step by step; call it for every wave of the state, also for closed ones, whose drains it ends.
 *
 * A host goes drained → jobs finished, or checkpointed after longJobDrainTimeout → maintained → healthy again → done → drain ended. A
 * paused or aborted wave drains no further host; hosts under maintenance are finished, others are given back by an abort at once.
 */
class wave_runner
{
public:
    explicit wave_runner(wave_settings settings);

    /** The decisions now. The budget is charged for each new drain. */
    std::vector<wave_decision> next(const std::string &name, const wave_context &context, availability_budget &budget) const;

private:
    struct drained_host;

    std::vector<drained_host> findDrainedHosts(const std::string &name, const wave_context &context) const;
    void advanceHosts(const std::string &name, const maintenance_wave *wave, const std::vector<drained_host> &drainedHosts,
                      std::vector<wave_decision> &decisions) const;
    bool mustPause(const wave_context &context, std::string &reason) const;
    bool mayResume(const maintenance_wave &wave, const wave_context &context) const;
    void drainHosts(const std::string &name, const maintenance_wave &wave, const wave_context &context, const std::vector<drained_host> &drainedHosts,
                    availability_budget &budget, std::vector<wave_decision> &decisions) const;

    wave_settings m_settings;
    wave_planner m_planner;
};

/** The author of pauses that the runner makes; it resumes no other pause. */
constexpr const char *waveRunnerAuthor = "wave-runner";

/** The records of decisions that are records, in order; requests to the platform are passed over. Identifiers as in moveRecords. */
std::vector<wire::fleet_record> waveRecords(const std::vector<wave_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId);

} // namespace parsleyglade
