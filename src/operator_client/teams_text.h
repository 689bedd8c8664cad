#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace parsleyglade {

/** Formats the states of the teams as text, with processor capacity in cores. Missing strings are shown as "-", missing numbers as 0. */
std::string teamsText(const nlohmann::json &document);

} // namespace parsleyglade
