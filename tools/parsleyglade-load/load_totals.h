#pragma once

#include "core/time_types.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace parsleyglade {

/** Figures of one run. Latencies are of completed jobs, from the moment the job was due to the end of its last answer. */
struct load_totals
{
    std::uint64_t jobs = 0;
    std::uint64_t attempts = 0;
    std::map<std::string, std::uint64_t> states; /**< Jobs by the state of their last answer. */
    std::map<std::string, std::uint64_t> codes; /**< Jobs by the result code of their last answer. */
    std::map<std::string, std::uint64_t> attemptCodes; /**< Attempts by the result code of their answer. */
    std::vector<duration> shortLatencies;
    std::vector<duration> longLatencies;
    std::vector<duration> otherLatencies; /**< Of jobs that did not end completed. */
    std::uint64_t foreignBodies = 0; /**< Completed answers whose body is not the one of the request. */
    std::vector<std::string> foreignExamples;
    std::vector<std::string> unansweredExamples; /**< Attempts without a whole answer: seconds from the start, target, reason. */
    duration elapsed{}; /**< From the first job to the last answer. */
};

} // namespace parsleyglade
