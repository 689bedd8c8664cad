#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

namespace parsleyglade {

enum class endpoint_fault : std::uint8_t {
    none,
    dead, /**< Answers nothing; its jobs are lost. */
    leaving, /**< Finishes its jobs and refuses new ones. */
    failing, /**< Answers probes, and fails each new job at once. */
};

/** An endpoint that runs as many jobs as it has slots; further jobs wait in order of arrival. */
struct fake_endpoint
{
    std::uint32_t pool = 0;
    std::uint32_t dataCentre = 0;
    std::size_t slots = 8;
    endpoint_fault fault = endpoint_fault::none;
    std::uint32_t generation = 0; /**< Raised when its jobs are lost, so that their events are void. */
    std::vector<std::uint32_t> running;
    std::deque<std::uint32_t> backlog;
    bool isMoving = false;
    std::uint32_t targetPool = 0; /**< Pool that it joins when it has drained. */

    bool isIdle() const
    {
        return running.empty() && backlog.empty();
    }
};

} // namespace parsleyglade
