#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace parsleyglade {

enum class wave_step : std::uint8_t {
    drain_host, /**< Append a drain of the host. */
    checkpoint_jobs, /**< Ask the platform to checkpoint the jobs that still run on the host. */
    maintain_host, /**< Ask the platform to maintain and reboot the host; nothing runs on it. */
    finish_host, /**< Append that the host is done. */
    end_drain, /**< Append the end of the host's drain. */
    pause,
    resume,
    replan, /**< Append the new plan. */
};

/** What a wave does next: a record to append, or a request to the platform. */
struct wave_decision
{
    wave_step step = wave_step::drain_host;
    std::string wave;
    std::string host;
    std::int64_t version = 0; /**< Version of the wave that the decision is based on. */
    std::int64_t drain = 0; /**< The drain to end. */
    std::int64_t follows = 0; /**< For a drain, the planned record that it follows; 0 is the drain before it in the same plan. */
    std::string reason;
    std::vector<std::vector<std::string>> batches; /**< A new plan. */
};

} // namespace parsleyglade
