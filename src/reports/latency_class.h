#pragma once

#include <cstdint>
#include <string_view>

namespace parsleyglade {

/** Jobs whose latencies are kept apart; an urgent job counts as urgent whatever its length. */
enum class latency_class : std::uint8_t {
    short_job,
    urgent_job,
    long_job,
};

constexpr std::size_t latencyClassCount = 3;

/** The name of a class as it appears in documents, metrics and pages. */
std::string_view name(latency_class latencyClass);

} // namespace parsleyglade
