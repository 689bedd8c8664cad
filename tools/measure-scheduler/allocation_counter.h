#pragma once

#include <cstdint>

namespace parsleyglade {

/** Returns the number of allocations by operator new since the start of the program. */
std::uint64_t allocationCount();

} // namespace parsleyglade
