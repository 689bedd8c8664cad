#pragma once

#include <cstddef>
#include <string>

namespace parsleyglade {

/** Maximum length of the name of a host, pool, location, wave or author in a record, in bytes. */
constexpr std::size_t maximumFleetNameBytes = 128;

/** Maximum length of the detail of a record other than a snapshot, in bytes. */
constexpr std::size_t maximumFleetDetailBytes = std::size_t{1024} * 1024;

/** Maximum number of hosts in the fold's state and in the plan of a wave. */
constexpr std::size_t maximumFleetHosts = 8192;

/** Whether a snapshot reproduces the text unchanged: UTF-8 without control characters, quotes and backslashes. */
bool isPlainFleetText(const std::string &text);

/** Whether the text is a valid name: plain, not empty and at most maximumFleetNameBytes long. */
bool isFleetName(const std::string &text);

} // namespace parsleyglade
