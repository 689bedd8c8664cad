#pragma once

#include "entry/peer_task.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <map>
#include <string>

namespace parsleyglade {

/** Documents by entry host; one that could not be had has the reason instead. */
using gathered_documents = std::map<std::string, outcome<nlohmann::json>>;

/** Asks every entry host that is known, by registration or by heartbeat, for a document. The callback runs once, with all of them.
    @param registered names of the entry hosts that the fleet's records know */
void gatherDocuments(event_loop &loop, peer_task &peers, const std::vector<std::string> &registered, const std::string &document,
                     std::function<void(gathered_documents)> done);

} // namespace parsleyglade
