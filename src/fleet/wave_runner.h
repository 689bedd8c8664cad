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

/** The data on which the next steps of a wave are decided. Refers to its arguments, which must outlive it. */
struct wave_context
{
    const fleet_tables &tables;
    const fleet_state &state;
    const fleet_health &health;
    const wave_progress &progress;
    double burnRate = 0; /**< Highest error-budget burn rate of any service; at 1 the objective is just met. */
    wall_time now{}; /**< Wall-clock time, compared with the recorded times of drains and pauses. */
};

/**
 * Decides the steps of maintenance waves.
 *
 * Call next() regularly for every wave of the state, including finished and aborted ones, whose remaining drains it ends. Each host passes
 * through these stages: drained → jobs finished, or checkpointed after longJobDrainTimeout → maintained → healthy again → done → drain
 * ended. A paused or aborted wave drains no further hosts and completes those under maintenance; an abort ends the drains of all others
 * immediately.
 */
class wave_runner
{
public:
    explicit wave_runner(wave_settings settings);

    /**
     * Returns the next steps of the wave, in the order in which they are to be carried out.
     * @param name Name of the wave.
     * @param budget Charged for each host that is to be drained.
     */
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

/** Author with which the runner records its changes of a wave. The runner resumes only a wave that it has paused itself. */
constexpr const char *waveRunnerAuthor = "wave-runner";

/**
 * Builds the log records of the decisions, in their order. Skips the requests to the platform (checkpoint_jobs, maintain_host).
 * The parameters are those of moveRecords.
 */
std::vector<wire::fleet_record> waveRecords(const std::vector<wave_decision> &decisions, std::int64_t writer, wall_time now,
                                            const std::function<std::int64_t()> &newRecordId);

} // namespace parsleyglade
