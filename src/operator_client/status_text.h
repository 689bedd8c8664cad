#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** The status document of the admin interface for people. Missing fields are shown as "-". */
std::string statusText(const nlohmann::json &status);

/** A wave of the admin interface for people. */
std::string waveText(const nlohmann::json &wave);

} // namespace parsleyglade
