#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** Formats the status document of the admin interface as text. Missing strings and times are shown as "-", missing numbers as 0. */
std::string statusText(const nlohmann::json &status);

/** Formats a maintenance wave of the admin interface, with its steps, as text. */
std::string waveText(const nlohmann::json &wave);

} // namespace parsleyglade
