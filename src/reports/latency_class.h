#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Classes of jobs with separate latency statistics. An urgent job is in the class urgent_job whatever its duration. */
enum class latency_class : std::uint8_t {
    short_job,
    urgent_job,
    long_job,
};

constexpr std::size_t latencyClassCount = 3;

/** Returns the name of a class as it appears in documents, metrics and pages. */
std::string_view name(latency_class latencyClass);

} // namespace parsleyglade
