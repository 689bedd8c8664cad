#pragma once

#include "entry/peer_task.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace parsleyglade {

/** Documents keyed by entry host. A failed request has its reason instead of a document. */
using gathered_documents = std::map<std::string, outcome<nlohmann::json>>;

/**
 * Requests a document from every other entry host that is registered or has sent a heartbeat. The callback runs once, when each has
 * replied or failed; each request times out after 1 s.
 * @param registered names of the entry hosts registered in the fleet's records
 * @param document name of the document, "status" or "burn"
 */
void gatherDocuments(event_loop &loop, peer_task &peers, const std::vector<std::string> &registered, const std::string &document,
                     std::function<void(gathered_documents)> done);

} // namespace parsleyglade
