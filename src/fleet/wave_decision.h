#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

/** Kind of a wave_decision. */
enum class wave_step : std::uint8_t {
    drain_host, /**< Append the start of a drain of the host. */
    checkpoint_jobs, /**< Request the platform to checkpoint the jobs that still run on the host. */
    maintain_host, /**< Request the platform to maintain and reboot the host, on which no job runs. */
    finish_host, /**< Append that the wave is done with the host. */
    end_drain, /**< Append the end of the host's drain. */
    pause, /**< Append the pause of the wave, with a reason. */
    resume, /**< Append that the wave runs again. */
    replan, /**< Append the new plan of the wave. */
};

/** Next step of a maintenance wave: a record to append or a request to send to the platform. @see waveRecords */
struct wave_decision
{
    wave_step step = wave_step::drain_host;
    std::string wave;
    std::string host;
    std::int64_t version = 0; /**< Version of the wave on which the decision is based. Set for pause, resume and replan. */
    std::int64_t drain = 0; /**< Record id of the host's drain. Set for all steps on hosts that are drained already. */
    /** For drain_host: id of the last planned record before this plan; 0 stands for the plan's previous drain. */
    std::int64_t expectedPlannedRecord = 0;
    std::string reason; /**< Why the wave is paused. */
    std::vector<std::vector<std::string>> batches; /**< For replan: the new plan. */
};

} // namespace parsleyglade
