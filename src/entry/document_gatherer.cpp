#include "entry/document_gatherer.h"

#include <memory>
#include <set>

namespace parsleyglade {

namespace {

constexpr duration gatherTimeout = std::chrono::seconds{1};

struct gather_state
{
    std::set<std::string> pending;
    gathered_documents documents;
    std::function<void(gathered_documents)> done;
};

outcome<nlohmann::json> readDocument(const outcome<wire::peer_message> &reply)
{
    if (!reply) {
        return reply.lastReason();
    }

    auto document = nlohmann::json::parse(reply->documentReply.json, nullptr, false);
    if (!document.is_object()) {
        return failure{result_code::peer_unreachable, "the entry host replied with an invalid document", {}};
    }
    return document;
}

} // namespace

void gatherDocuments(event_loop &loop, peer_task &peers, const std::vector<std::string> &registered, const std::string &document,
                     std::function<void(gathered_documents)> done)
{
    const auto state = std::make_shared<gather_state>();
    state->done = std::move(done);
    state->pending.insert(registered.begin(), registered.end());
    for (const peer_state &peer : peers.knownPeers()) {
        state->pending.insert(peer.identity.entryHost);
    }
    state->pending.erase(peers.self());
    if (state->pending.empty()) {
        loop.post([state] { state->done({}); });
        return;
    }

    const std::set<std::string> entryHosts = state->pending;
    for (const std::string &entryHost : entryHosts) {
        wire::document_request request;
        request.document = document;
        wire::peer_message message;
        message.__set_document(request);
        peers.request(entryHost, message, gatherTimeout, [state, entryHost](const outcome<wire::peer_message> &reply) {
            state->documents.emplace(entryHost, readDocument(reply));
            state->pending.erase(entryHost);
            if (state->pending.empty()) {
                state->done(std::move(state->documents));
            }
        });
    }
}

} // namespace parsleyglade
