#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace parsleyglade {

/** Simulated fault of an endpoint. */
enum class endpoint_fault : std::uint8_t {
    none,
    dead, /**< Sends no responses; its jobs are lost. */
    leaving, /**< Completes its jobs and refuses new ones. */
    failing, /**< Responds to probes, but fails each new job at once. */
};

/** Simulated endpoint that runs one job per slot at a time; further jobs wait in order of arrival. */
struct fake_endpoint
{
    std::uint32_t pool = 0;
    std::uint32_t dataCentre = 0;
    std::size_t slots = 8;
    endpoint_fault fault = endpoint_fault::none;
    std::uint32_t generation = 0; /**< Incremented when its jobs are lost, so that their pending events are ignored. */
    std::vector<std::uint32_t> running; /**< Indices of the running jobs. */
    std::deque<std::uint32_t> backlog; /**< Indices of the jobs that wait for a slot. */
    bool isMoving = false; /**< Whether it drains or joins for a move to targetPool. */
    std::uint32_t targetPool = 0; /**< Pool that it joins after it has drained. */

    bool isIdle() const
    {
        return running.empty() && backlog.empty();
    }
};

} // namespace parsleyglade
