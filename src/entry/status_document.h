#pragma once

#include "entry/admin_context.h"
#include "entry/refusal_counter.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace parsleyglade {

/** Builds the status of this entry host alone, for its own status response and for other entry hosts that request it. */
nlohmann::json makeLocalStatus(const admin_context &context, const refusal_counter &refusals);

/**
 * Merges the status documents of all entry hosts into the deployment's status. A host's row comes from an entry host of its own data centre
 * when one replied. Entry hosts that did not reply are listed with the reason.
 * @param own this entry host's status, from makeLocalStatus()
 */
nlohmann::json makeStatus(const admin_context &context, const nlohmann::json &own, const std::map<std::string, outcome<nlohmann::json>> &others);

/** Returns the JSON form of a wave in the operators' interface. */
nlohmann::json waveJson(const std::string &name, const maintenance_wave &wave, const fleet_tables &published);

} // namespace parsleyglade
