#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Results of one run. A latency is the time from the moment the job was due to be sent to the end of its last attempt, so it includes delays and retries. */
struct load_totals
{
    std::uint64_t jobs = 0;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> states; /**< Jobs by the state of their last attempt. */
    std::map<std::string, std::uint64_t> codes; /**< Jobs by the result code of their last attempt. */
    std::map<std::string, std::uint64_t> attemptCodes; /**< Attempts by result code. */
    std::vector<duration> shortLatencies; /**< Of completed short jobs. */
    std::vector<duration> longLatencies; /**< Of completed long jobs. */
    std::vector<duration> otherLatencies; /**< Of jobs that did not end as completed. */
    std::uint64_t foreignBodies = 0; /**< Completed responses that do not echo the body of their own request. */
    std::vector<std::string> foreignExamples; /**< Keys of such jobs, or their bodies if they have no key. */
    std::vector<std::string> unansweredExamples; /**< Attempts without a complete response: seconds since the start, target, reason. */
    duration elapsed{}; /**< From the start until the last job has ended. */
};

} // namespace parsleyglade
