#pragma once

#include "entry/admin_context.h"
#include "entry/refusal_counter.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace parsleyglade {

/** What this entry host alone knows, for its own status and for other entry hosts that gather theirs. */
nlohmann::json makeLocalStatus(const admin_context &context, const refusal_counter &refusals);

/** The status of the deployment: this host's own, completed by what other entry hosts answered. A host is described by an entry
    host of its own data centre when one answered. Entry hosts that did not answer are named with the reason. */
nlohmann::json makeStatus(const admin_context &context, const nlohmann::json &own, const std::map<std::string, outcome<nlohmann::json>> &others);

/** One wave as the operators' interface shows it. */
nlohmann::json waveJson(const std::string &name, const maintenance_wave &wave, const fleet_tables &published);

} // namespace parsleyglade
