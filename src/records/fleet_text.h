#pragma once

#include <cstddef>
#include <string>

namespace parsleyglade {

/** Longest name of a host, pool, place, wave or author in a record, in bytes. */
constexpr std::size_t maximumFleetNameBytes = 128;

/** Longest detail of a record other than a snapshot, in bytes. */
constexpr std::size_t maximumFleetDetailBytes = std::size_t{1024} * 1024;

/** Most hosts in the fold's state and in the plan of a wave. */
constexpr std::size_t maximumFleetHosts = 8192;

/** Whether text survives a snapshot unchanged: UTF-8 without control characters, quotes and backslashes. */
bool isPlainFleetText(const std::string &text);

/** Whether the text is plain, not empty and not too long for a name. */
bool isFleetName(const std::string &text);

} // namespace parsleyglade
